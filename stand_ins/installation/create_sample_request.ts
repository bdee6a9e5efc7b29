import type { SampleRequest } from "../../source/durable_steps/step_submission.ts";

/** Creates a sample request with an empty body and without scoring. */
export function createSampleRequest(identifier: string): SampleRequest {
  return {
    identifier,
    path: "/p/1",
    headers: {},
    body: Buffer.alloc(0),
    tokens: 8,
    expectedTokens: undefined,
    maximumTokens: undefined,
    promptParts: [],
    group: "g",
    scoring: undefined,
  };
}
