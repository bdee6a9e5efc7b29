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

interface Arrival {
  readonly node: number;
  readonly organisation: string;
  readonly classOfWork: string;
  readonly tokens: number;
  readonly withinMilliseconds: number;
  readonly runMilliseconds: number;
  readonly cancelAfterMilliseconds: number | undefined;
  readonly hasServers: boolean;
}

const ARRIVAL = fc.record<Arrival>({
  node: fc.nat(2),
  organisation: fc.constantFrom("limited", "narrow", "free", "open"),
  classOfWork: fc.constantFrom("lookups", "rollouts", "later", "untimed", "?"),
  tokens: fc.nat(200),
  withinMilliseconds: fc.integer({ min: 1, max: 9000 }),
  runMilliseconds: fc.nat(2000),
  cancelAfterMilliseconds: fc.option(fc.nat(2000), { nil: undefined }),
  hasServers: fc.constantFrom(true, true, true, false),
});

for (const policy of Object.keys(ADMISSION_POLICIES) as AdmissionPolicyName[]) {
  test(`every request is admitted once or refused as not run by its deadline: ${policy}`, async (t) => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(ARRIVAL, { maxLength: 40 }),
        async (arrivals) => {
          const results = await runArrivals(policy, arrivals);
          t.is(results.length, arrivals.length);
          for (const { result, lateMilliseconds } of results) {
            if (result.kind === "admitted") continue;
            t.is(result.kind, "notRun");
            t.true(result.retryAfterMilliseconds >= 0);
            t.true(result.retryAfterMilliseconds <= 60_000);
            t.true(lateMilliseconds <= STEP_MILLISECONDS);
          }
        },
      ),
      { seed: RANDOM_SEED, numRuns: 60 },
    );
  });
}

interface SettledRequest {
  readonly result: AdmissionTicket | DispatchRefusal;
  /** Time from the deadline to the result, in milliseconds; negative before the deadline. */
  readonly lateMilliseconds: number;
}

async function runArrivals(
  policy: AdmissionPolicyName,
  arrivals: ReadonlyArray<Arrival>,
): Promise<ReadonlyArray<SettledRequest>> {
  const clock = new ManualClock();
  let hasServers = true;
  let running = 0;
  const { nodes } = createAdmissionBench({
    clock,
    nodes: 3,
    policy,
    declaration: DECLARATION,
    factDelayMilliseconds: 500,
    servers: () =>
      hasServers
        ? [describeServer("engine", { running, waiting: running > 2 ? 1 : 0 })]
        : [],
  });
  const results: SettledRequest[] = [];
  async function request(arrival: Arrival): Promise<void> {
    const controller = new AbortController();
    const deadline = clock.monotonic() + arrival.withinMilliseconds;
    if (arrival.cancelAfterMilliseconds !== undefined) {
      void clock.sleep(arrival.cancelAfterMilliseconds).then(() =>
        controller.abort()
      );
    }
    const result = await nodes[arrival.node]?.admit({
      requestIdentifier: "request",
      service: "assist-lm",
      classOfWork: arrival.classOfWork,
      organisation: arrival.organisation,
      deadline,
      ledger: { add: () => {}, close: () => {} },
      signal: controller.signal,
      expectedTokens: arrival.tokens,
    });
    if (result === undefined) return;
    results.push({ result, lateMilliseconds: clock.monotonic() - deadline });
    if (result.kind !== "admitted") return;
    running += 1;
    await clock.sleep(arrival.runMilliseconds);
    running -= 1;
    result.release(arrival.tokens);
  }
  async function advance(): Promise<void> {
    await clock.advance(STEP_MILLISECONDS);
    for (const node of nodes) node.tick();
  }
  for (const arrival of arrivals) {
    hasServers = arrival.hasServers;
    void request(arrival);
    await advance();
  }
  hasServers = true;
  for (let count = 0; count < SETTLE_STEPS; count += 1) await advance();
  return results;
}
