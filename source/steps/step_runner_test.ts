import { create } from "@bufbuild/protobuf";
import test from "ava";
import { StepManifestSchema } from "../../generated/snipepath/v1/records_pb.ts";
import type {
  CompletionOutcome,
  CompletionWork,
} from "../dispatch/dispatcher.ts";
import { ControlNode } from "../../stand_ins/control/control_node.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { StepReplica } from "./step_replica.ts";
import { StepRunner, type StepRunnerOptions } from "./step_runner.ts";

const TEN_TOKENS = { text: "ten", tokens: 10, weightVersion: 1 };

interface Call {
  readonly work: CompletionWork;
  readonly end: (outcome: CompletionOutcome) => void;
}

interface Fixture {
  readonly clock: ManualClock;
  readonly step: StepReplica;
  readonly calls: Call[];
  readonly runner: StepRunner;
  readonly stop: () => void;
}

function createFixture(options: Partial<StepRunnerOptions> = {}): Fixture {
  const clock = new ManualClock();
  const state = createPlatformState({ clock });
  const { context } = new ControlNode({ name: "node-1", clock, state });
  const step = new StepReplica(
    create(StepManifestSchema, {
      trainer: "dots",
      step: "17",
      epoch: "1",
      groups: [{ prompt: "one", samples: 1, maximumTokens: 20 }],
      deadlineSeconds: 600,
    }),
    clock,
  );
  const calls: Call[] = [];
  const controller = new AbortController();
  const runner = new StepRunner(step, {
    context,
    admission: {
      admit: () => Promise.resolve({ kind: "admitted", release: () => {} }),
      queued: () => 0,
    },
    dispatcher: {
      runCompletion: (work) =>
        new Promise((end) => {
          work.onServer?.(`engine-${calls.length}`);
          calls.push({ work, end });
        }),
      runPlain: () => Promise.resolve(FAILED),
    },
    tailPolicy: ({ running }) =>
      running.filter((sample) => sample.runs === 1 && sample.tokens > 0)
        .map(({ index }) => ({ index, resumes: true, duplicateTokens: 10 })),
    budgetTokens: () => 100,
    classOfWork: "rollouts",
    ledger: { add: () => {}, close: () => {} },
    newestVersion: () => 1,
    onFinished: () => {},
    ...options,
  });
  void runner.run(controller.signal);
  return { clock, step, calls, runner, stop: () => controller.abort() };
}

const FAILED = {
  kind: "unknown",
  reason: "backendFailure",
  detail: "the response is inconsistent",
  retryAfterMilliseconds: 0,
} as const;

function toFinished(text: string): CompletionOutcome {
  return {
    kind: "finished",
    text,
    stretches: [{ weightVersion: 1, tokens: 20 }],
    finishReason: "length",
    usage: { promptTokens: 1, generatedTokens: 20, cachedTokens: 0 },
    server: "engine-1",
    serverStart: "start-1",
  };
}

test("a second run that resumes from the first run replaces it with its first token", async (t) => {
  const { clock, step, calls, runner, stop } = createFixture();
  await clock.advance(10);
  calls[0]?.work.onTokens?.(TEN_TOKENS);
  await clock.advance(100);
  t.false(calls[0]?.work.signal.aborted);
  calls[1]?.work.onTokens?.(TEN_TOKENS);
  t.true(calls[0]?.work.signal.aborted);
  calls[0]?.end({ ...FAILED, reason: "cancelled" });
  calls[1]?.end(toFinished("second"));
  await clock.advance(1000);
  t.deepEqual(step.samples().map((sample) => sample.text), ["second"]);
  t.is(runner.totals.generatedTokens, 20);
  t.is(calls.length, 2);
  stop();
});

test("the first complete response wins and the other run is cancelled", async (t) => {
  const { clock, step, calls, runner, stop } = createFixture();
  await clock.advance(10);
  calls[0]?.work.onTokens?.(TEN_TOKENS);
  await clock.advance(100);
  t.is(calls.length, 2);
  t.deepEqual(calls[1]?.work.resumeFrom, [TEN_TOKENS]);
  t.deepEqual(calls[1]?.work.avoidServers, ["engine-0"]);
  calls[1]?.end(toFinished("second"));
  await clock.advance(100);
  t.true(calls[0]?.work.signal.aborted);
  calls[0]?.end(toFinished("first"));
  await clock.advance(1000);
  t.deepEqual(step.samples().map((sample) => sample.text), ["second"]);
  t.is(calls.length, 2);
  t.is(runner.totals.secondRuns, 1);
  stop();
});

test("a run whose source failed is cancelled and the sample starts again without tokens", async (t) => {
  const { clock, step, calls, stop } = createFixture();
  await clock.advance(10);
  calls[0]?.work.onTokens?.(TEN_TOKENS);
  await clock.advance(100);
  calls[0]?.end(FAILED);
  await clock.advance(10);
  t.true(calls[1]?.work.signal.aborted);
  calls[1]?.end({ ...FAILED, reason: "cancelled" });
  await clock.advance(1000);
  t.is(calls.length, 3);
  t.deepEqual(calls[2]?.work.resumeFrom, []);
  calls[2]?.end(toFinished("third"));
  await clock.advance(10);
  t.deepEqual(step.samples().map((sample) => sample.text), ["third"]);
  stop();
});

test("second runs beyond the budget are not started", async (t) => {
  const { clock, calls, runner, stop } = createFixture({
    budgetTokens: () => 9,
  });
  await clock.advance(10);
  calls[0]?.work.onTokens?.(TEN_TOKENS);
  await clock.advance(1000);
  t.is(calls.length, 1);
  t.is(runner.totals.secondRuns, 0);
  stop();
});
