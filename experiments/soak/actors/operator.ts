import { OperatorClient } from "../../../source/command/operator_client.ts";
import type { Deployment } from "../../deployment/deployment.ts";
import type { Journal } from "../journal.ts";
import type { CallerKey } from "./caller.ts";

const POLL_INTERVAL_MILLISECONDS = 500;
const POLL_TIMEOUT_MILLISECONDS = 2000;
const MAXIMUM_COMMAND_ATTEMPTS = 30;
const RETRY_MILLISECONDS = 500;
const KEY_PATTERN = /^sp_([^_]+)_/;

/**
 * Issues a key, and retries until the command succeeds.
 * @param deployment - Deployment to call.
 * @param owner - Organisation of the key, and whether it is a trainer's.
 * @param journal - Journal that records the secret.
 */
export async function issueKey(
  deployment: Deployment,
  owner: { readonly organisation: string; readonly isTrainer: boolean },
  journal: Journal,
): Promise<CallerKey> {
  const flags = owner.isTrainer ? ["--trainer"] : [];
  for (let attempt = 0; attempt < MAXIMUM_COMMAND_ATTEMPTS; attempt += 1) {
    const result = await deployment.runCommand([
      "key",
      "give",
      owner.organisation,
      ...flags,
    ]);
    const key = result.output.trim();
    const identifier = KEY_PATTERN.exec(key)?.[1];
    if (result.status === 0 && identifier !== undefined) {
      journal.secrets.push(key.slice(key.lastIndexOf("_") + 1));
      return { key, identifier };
    }
    await sleep(RETRY_MILLISECONDS);
  }
  throw new Error(`Could not issue a key to ${owner.organisation}`);
}

/**
 * Withdraws a key, records when the command returned, and replaces the key.
 * @param deployment - Deployment to call.
 * @param held - Key to replace, and its organisation.
 * @param journal - Journal that records the withdrawal.
 */
export async function replaceKey(
  deployment: Deployment,
  held: { readonly key: CallerKey; readonly organisation: string },
  journal: Journal,
): Promise<void> {
  const { identifier } = held.key;
  const result = await deployment.runCommand(["key", "withdraw", identifier]);
  const isAccepted = result.status === 0 || result.status === 5;
  if (isAccepted) {
    journal.withdrawals.push({
      keyIdentifier: identifier,
      answeredAt: journal.now(),
      output: result.output,
    });
  }
  const { organisation } = held;
  const next = await issueKey(
    deployment,
    { organisation, isTrainer: false },
    journal,
  );
  // Callers go on using the old key for 2 s, so that the checks detect a withdrawal without effect.
  await sleep(RETRY_MILLISECONDS * 4);
  held.key.key = next.key;
  held.key.identifier = next.identifier;
}

/**
 * Applies different declarations at the same time, as several operators would.
 * @param deployment - Deployment to call.
 * @param files - Paths of the declarations.
 * @param journal - Journal that records accepted revisions.
 */
export async function raceConfigurations(
  deployment: Deployment,
  files: ReadonlyArray<string>,
  journal: Journal,
): Promise<void> {
  await Promise.all(files.map(async (file) => {
    const result = await deployment.runCommand([
      "apply",
      file,
      "--wait=0",
      "--json",
    ]);
    if (result.status !== 0 && result.status !== 5) return;
    const answer = /"revision": (\d+),\s+"isChanged": true/.exec(result.output);
    if (answer === null) return;
    journal.revisions.push({
      revision: Number(answer[1]),
      answeredAt: journal.now(),
    });
  }));
}

/**
 * Polls the revision in force on each node until aborted.
 * @param deployment - Deployment to call.
 * @param journal - Journal that records the revisions.
 * @param signal - Stops the polling when aborted.
 */
export async function pollRevisions(
  deployment: Deployment,
  journal: Journal,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await Promise.all(deployment.nodes.map(async (node) => {
      const client = new OperatorClient({
        addresses: [node.peerAddress],
        secret: "",
        timeoutMilliseconds: POLL_TIMEOUT_MILLISECONDS,
      });
      const at = journal.now();
      const answer = await client.call((each) => each.getConfiguration({}));
      if (answer.kind !== "ok") return;
      journal.nodeRevisions.push({
        node: node.name,
        nodeStart: node.peerAddress,
        revision: Number(answer.value.record?.revision ?? 0n),
        at,
      });
    }));
    await sleep(POLL_INTERVAL_MILLISECONDS);
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
