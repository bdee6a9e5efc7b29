import test from "ava";
import fc from "fast-check";
import {
  createAdmissionBench,
  describeServer,
} from "../../stand_ins/entry/admission_bench.ts";
import type { DispatchRefusal } from "../dispatch/dispatcher.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { AdmissionTicket } from "./admission.ts";
import {
  ADMISSION_POLICIES,
  type AdmissionPolicyName,
} from "./policies/policy_table.ts";

const RANDOM_SEED = 20261205;
const STEP_MILLISECONDS = 300;
const SETTLE_STEPS = 60;
const DECLARATION = {
  classes: [
    { name: "lookups", latencyP99Milliseconds: 1000 },
    { name: "rollouts", latencyP99Milliseconds: 5000 },
    { name: "later", latencyP99Milliseconds: 4000, deferrable: true },
    { name: "untimed" },
  ],
  organisations: [
    { name: "limited", requestsPerSecond: 3, tokensPerSecond: 50 },
    { name: "narrow", concurrentRequests: 2 },
  ],
};

interface Step {
  readonly node: number;
  readonly organisation: string;
  readonly classOfWork: string;
  readonly tokens: number;
  readonly within: number;
  readonly runs: number;
  readonly cancelAfter: number | undefined;
  readonly hasServers: boolean;
}

const STEP = fc.record<Step>({
  node: fc.nat(2),
  organisation: fc.constantFrom("limited", "narrow", "free", "open"),
  classOfWork: fc.constantFrom("lookups", "rollouts", "later", "untimed", "?"),
  tokens: fc.nat(200),
  within: fc.integer({ min: 1, max: 9000 }),
  runs: fc.nat(2000),
  cancelAfter: fc.option(fc.nat(2000), { nil: undefined }),
  hasServers: fc.constantFrom(true, true, true, false),
});

for (const policy of Object.keys(ADMISSION_POLICIES) as AdmissionPolicyName[]) {
  test(`every request is admitted once or refused as not run by its deadline: ${policy}`, async (t) => {
    await fc.assert(
      fc.asyncProperty(fc.array(STEP, { maxLength: 40 }), async (steps) => {
        const answers = await runSteps(policy, steps);
        t.is(answers.length, steps.length);
        for (const { answer, lateMilliseconds } of answers) {
          if (answer.kind === "admitted") continue;
          t.is(answer.kind, "notRun");
          t.true(answer.retryAfterMilliseconds >= 0);
          t.true(answer.retryAfterMilliseconds <= 60_000);
          t.true(lateMilliseconds <= STEP_MILLISECONDS);
        }
      }),
      { seed: RANDOM_SEED, numRuns: 60 },
    );
  });
}

interface Answered {
  readonly answer: AdmissionTicket | DispatchRefusal;
  /** Time by which the answer came after the deadline; negative before it. */
  readonly lateMilliseconds: number;
}

async function runSteps(
  policy: AdmissionPolicyName,
  steps: ReadonlyArray<Step>,
): Promise<ReadonlyArray<Answered>> {
  const clock = new ManualClock();
  let hasServers = true;
  let running = 0;
  const { nodes } = createAdmissionBench({
    clock,
    nodes: 3,
    policy,
    declaration: DECLARATION,
    toldDelayMilliseconds: 500,
    servers: () =>
      hasServers
        ? [describeServer("engine", { running, waiting: running > 2 ? 1 : 0 })]
        : [],
  });
  const answers: Answered[] = [];
  async function ask(step: Step): Promise<void> {
    const controller = new AbortController();
    const deadline = clock.monotonic() + step.within;
    if (step.cancelAfter !== undefined) {
      void clock.sleep(step.cancelAfter).then(() => controller.abort());
    }
    const answer = await nodes[step.node]?.admit({
      requestIdentifier: "request",
      service: "assist-lm",
      classOfWork: step.classOfWork,
      organisation: step.organisation,
      deadline,
      ledger: { add: () => {}, close: () => {} },
      signal: controller.signal,
      expectedTokens: step.tokens,
    });
    if (answer === undefined) return;
    answers.push({ answer, lateMilliseconds: clock.monotonic() - deadline });
    if (answer.kind !== "admitted") return;
    running += 1;
    await clock.sleep(step.runs);
    running -= 1;
    answer.release(step.tokens);
  }
  async function move(): Promise<void> {
    await clock.advance(STEP_MILLISECONDS);
    for (const node of nodes) node.tick();
  }
  for (const step of steps) {
    hasServers = step.hasServers;
    void ask(step);
    await move();
  }
  hasServers = true;
  for (let count = 0; count < SETTLE_STEPS; count += 1) await move();
  return answers;
}
