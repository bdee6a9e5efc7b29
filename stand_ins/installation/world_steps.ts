import type { InstallationWorld, WorldNode } from "./installation_world.ts";
import { callNode } from "./world_caller.ts";

/** Samples of each step. */
export const SAMPLES = 8;

/** A listed result as a trainer reads it. */
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

function createStep(identifier: string): string {
  return JSON.stringify({
    step: 1,
    model: "model-a",
    "min_version": 1,
    "target_groups": 1,
    requests: Array.from({ length: SAMPLES }, (_unused, index) => ({
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

/** Submits a step of eight samples; returns the status of the answer. */
export async function submit(
  world: InstallationWorld,
  node: WorldNode,
  identifier: string,
): Promise<number> {
  const answer = await callNode(world, node, {
    method: "POST",
    path: "/steps/",
    identifier,
    body: createStep(identifier),
  });
  return answer.status;
}

/** Reads a step's results until all are listed, and comes back when it is told to. */
export async function readAll(
  world: InstallationWorld,
  node: WorldNode,
  step: string,
): Promise<ReadonlyArray<ReadResult>> {
  const results: ReadResult[] = [];
  for (let round = 0; round < 60 && results.length < SAMPLES; round += 1) {
    const answer = await callNode(world, node, {
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
