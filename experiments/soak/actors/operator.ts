import { OperatorClient } from "../../../source/command/operator_client.ts";
import type { Deployment } from "../../deployment/deployment.ts";
import type { Journal } from "../journal.ts";
import type { HeldKey } from "./caller.ts";

const LOOK_INTERVAL_MILLISECONDS = 500;
const LOOK_TIMEOUT_MILLISECONDS = 2000;
const COMMAND_TRIES = 30;
const RETRY_MILLISECONDS = 500;
const KEY_PATTERN = /^sp_([^_]+)_/;

/**
 * Gives a key, repeating until it was given.
 * @param deployment - The deployment.
 * @param given - The organisation, and whether the key is a trainer's.
 * @param journal - Where the secret is noted.
 */
export async function giveKey(
  deployment: Deployment,
  given: { readonly organisation: string; readonly isTrainer: boolean },
  journal: Journal,
): Promise<HeldKey> {
  const flags = given.isTrainer ? ["--trainer"] : [];
  for (let attempt = 0; attempt < COMMAND_TRIES; attempt += 1) {
    const result = await deployment.runCommand([
      "key",
      "give",
      given.organisation,
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
  throw new Error(`No key was given to ${given.organisation}`);
}

/**
 * Withdraws a key, notes when that was answered, and replaces the key.
 * @param deployment - The deployment.
 * @param held - The key and its organisation.
 * @param journal - Where the withdrawal is noted.
 */
export async function replaceKey(
  deployment: Deployment,
  held: { readonly key: HeldKey; readonly organisation: string },
  journal: Journal,
): Promise<void> {
  const { identifier } = held.key;
  const result = await deployment.runCommand(["key", "withdraw", identifier]);
  const isTold = result.status === 0 || result.status === 5;
  if (isTold) {
    journal.withdrawals.push({
      keyIdentifier: identifier,
      answeredAt: journal.now(),
      output: result.output,
    });
  }
  const { organisation } = held;
  const next = await giveKey(
    deployment,
    { organisation, isTrainer: false },
    journal,
  );
  // The old key goes on being shown for a while, so that a withdrawal without effect is seen.
  await sleep(RETRY_MILLISECONDS * 4);
  held.key.key = next.key;
  held.key.identifier = next.identifier;
}

/**
 * Lets two operators apply different declarations at the same time.
 * @param deployment - The deployment.
 * @param files - The two declarations.
 * @param journal - Where accepted revisions are noted.
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
 * Looks at the revision that each node goes by, until stopped.
 * @param deployment - The deployment.
 * @param journal - Where revisions are noted.
 * @param signal - Ends the looking.
 */
export async function watchRevisions(
  deployment: Deployment,
  journal: Journal,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await Promise.all(deployment.nodes.map(async (node) => {
      const client = new OperatorClient({
        addresses: [node.peerAddress],
        secret: "",
        timeoutMilliseconds: LOOK_TIMEOUT_MILLISECONDS,
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
    await sleep(LOOK_INTERVAL_MILLISECONDS);
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
