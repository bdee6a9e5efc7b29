import type {
  InstallationNode,
  TestInstallation,
} from "./test_installation.ts";
import { callNode } from "./call_node.ts";

/** Number of samples in each step. */
export const SAMPLES_PER_STEP = 8;

/** A result as it is listed for a trainer. */
export interface ReadResult {
  readonly id: string;
  readonly state: string;
  readonly output: string;
  readonly versions: ReadonlyArray<number>;
  readonly score: string;
}

interface ReadPage {
  readonly total: number;
  readonly next: number;
  readonly results: ReadonlyArray<ReadResult>;
}

function createStepBody(identifier: string, minimumVersion: number): string {
  return JSON.stringify({
    step: 1,
    model: "model-a",
    "min_version": minimumVersion,
    "target_groups": 1,
    requests: Array.from({ length: SAMPLES_PER_STEP }, (_unused, index) => ({
      id: `${identifier}-${index}`,
      path: `/steps/run/${index}`,
      headers: { Model: "model-a", "Token-Count": "10,20" },
      body: Buffer.from(`prompt ${index}`).toString("base64"),
      tokens: 30,
      group: "g",
      scorer: {
        id: `score-${identifier}-${index}`,
        host: "calls.example",
        path: "/score/it",
        body: "",
      },
    })),
  });
}

/**
 * Submits a step of eight samples and returns the status of the response.
 * @param installation - The host and key of the request.
 * @param node - The node that is called.
 * @param identifier - Identifier of the step.
 * @param minimumVersion - Lowest weight version that its samples may use.
 */
export async function submitStep(
  installation: TestInstallation,
  node: Pick<InstallationNode, "caller">,
  identifier: string,
  minimumVersion = 1,
): Promise<number> {
  const answer = await callNode(installation, node, {
    method: "POST",
    path: "/steps/",
    identifier,
    body: createStepBody(identifier, minimumVersion),
  });
  return answer.status;
}

/** Reads results until all are listed, in up to 60 calls; retries after the `retry-after` time. */
export async function readAllResults(
  installation: TestInstallation,
  node: Pick<InstallationNode, "caller">,
  step: string,
): Promise<ReadonlyArray<ReadResult>> {
  const results: ReadResult[] = [];
  for (
    let round = 0;
    round < 60 && results.length < SAMPLES_PER_STEP;
    round += 1
  ) {
    const answer = await callNode(installation, node, {
      method: "GET",
      path: `/-/lots/${step}?after=${results.length}`,
      headers: { "wait-ms": "500" },
    });
    if (answer.status !== 200) {
      const seconds = Number(answer.headers["retry-after"] ?? 0);
      await new Promise((resolve) => setTimeout(resolve, 1000 * seconds));
      continue;
    }
    results.push(...(JSON.parse(answer.body) as ReadPage).results);
  }
  return results;
}
