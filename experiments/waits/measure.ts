// Measures what a change of the operator's table costs while samples wait, and the memory of the sends
// that a node remembers. Run: node --expose-gc build/experiments/waits/measure.js
import { performance } from "node:perf_hooks";
import { RecentIdentifiers } from "../../source/backends/recent_identifiers.ts";
import {
  type EngineRequest,
  toRequirementsKey,
} from "../../source/durable_steps/engine_request.ts";
import { WaitingSamples } from "../../source/durable_steps/waiting_samples.ts";

const WAITING = [512, 2048, 8192];
const SENDS = [5000, 10_000, 20_000];
const ROUNDS = 20;

function createRequest(index: number): EngineRequest {
  const requirements = {
    service: "s",
    model: "m",
    minimumVersion: 1,
    exactVersion: undefined,
    softwareVersion: undefined,
  };
  const key = toRequirementsKey(requirements);
  return {
    requirements,
    urgency: {
      dueAt: index,
      expectedMilliseconds: 1000,
      group: `g${index >> 3}`,
      trainer: "m",
      isSpare: false,
    },
    expectedEvents: 20,
    expectedTokens: 100,
    prompt: "",
    promptTokens: 0,
    avoidedEngine: undefined,
    isOutdated: () => toRequirementsKey({ ...requirements }) !== key,
  };
}

for (const count of WAITING) {
  const queue = new WaitingSamples({ monotonic: () => performance.now() });
  for (let index = 0; index < count; index += 1) {
    void queue.wait(createRequest(index), {
      signal: new AbortController().signal,
      onAdded: () => {},
    });
  }
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) queue.endOutdated();
  const milliseconds = (performance.now() - startedAt) / ROUNDS;
  console.log(`${count} waiting: ${milliseconds.toFixed(2)} ms a change`);
}

for (const count of SENDS) {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const identifiers = new RecentIdentifiers();
  for (let index = 0; index < count; index += 1) {
    identifiers.recordSend("10.1.0.31:8368", `9c41d07be2a3${index}`);
  }
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - before;
  console.log(
    `${count} sends: ${(bytes / 1e6).toFixed(2)} MB, ${
      identifiers.recordSend("10.1.0.31:8368", "9c41d07be2a30")
    }`,
  );
}
