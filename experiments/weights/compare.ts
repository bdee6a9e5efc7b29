import { parseArgs } from "node:util";
import { WeightRollout } from "../../source/control/weight_rollout.ts";
import type { RolloutPolicyName } from "../../source/control/weight_rollout_planner.ts";
import type { PublishedVersion } from "../../source/steps/weight_versions.ts";
import {
  ENGINE_SET_SERVICE,
  type EngineSet,
  startEngineSet,
} from "../../stand_ins/steps/engine_set.ts";

const ENGINES = 12;
const BATCH_SLOTS = 4;
const VERSION_BYTES = 1_000_000;
const STORE_BYTES_PER_SECOND = 3_000_000;
const SWAP_MILLISECONDS = 400;
const MINIMUM_SERVERS = 9;
const WARM_UP_MILLISECONDS = 2500;
const LIMIT_MILLISECONDS = 40_000;
const OBSERVE_MILLISECONDS = 20;
const SAMPLE_TOKENS = 40;
const RETRY_MILLISECONDS = 50;
const PLAN_ENGINES = 660;
const PLAN_SECONDS = 37;

interface RunOptions {
  readonly seed: number;
  readonly policy: RolloutPolicyName;
  readonly boundVersions: number;
}

interface RunResult {
  readonly policy: RolloutPolicyName;
  readonly bound: number;
  /** Time until every engine ran the new version. */
  readonly allSeconds: number;
  /** Mean time until an engine ran the new version. */
  readonly meanSeconds: number;
  /** Usable tokens lost during the rollout, as the time in which the whole set generates them. */
  readonly lostSeconds: number;
  /** Lowest rate of usable tokens over half a second, relative to the usual rate. */
  readonly lowestSharePercent: number;
  readonly concurrency: number;
}

const CONCURRENCY: Readonly<
  Record<RolloutPolicyName, (rollout: WeightRollout) => number>
> = {
  allAtOnce: () => ENGINES,
  oneByOne: () => 1,
  waves: (rollout) => rollout.concurrency,
};

interface Traffic {
  newest: number;
  usableTokens: number;
}

async function run(options: RunOptions): Promise<RunResult> {
  const set = await startEngineSet({
    seed: options.seed,
    engines: ENGINES,
    minimumServers: MINIMUM_SERVERS,
    stalenessBoundVersions: options.boundVersions,
    engine: {
      batchSlots: BATCH_SLOTS,
      tokensPerSecond: 50,
      eventMilliseconds: 40,
      swapMilliseconds: SWAP_MILLISECONDS,
      loadLagMilliseconds: 300,
    },
    platform: {
      weightBytes: VERSION_BYTES,
      weightBytesPerSecond: STORE_BYTES_PER_SECOND,
    },
  });
  const versions: PublishedVersion[] = [];
  const rollout = new WeightRollout({
    context: set.context,
    configuration: set.configuration,
    engines: set.engineClient,
    servers: set.servers,
    versions: { all: () => versions },
    service: ENGINE_SET_SERVICE,
    policy: options.policy,
  });
  void rollout.run();
  const traffic: Traffic = { newest: 1, usableTokens: 0 };
  const callers = Array.from(
    { length: ENGINES * BATCH_SLOTS },
    () => sendRequests(set, traffic, options.boundVersions),
  );
  await sleep(WARM_UP_MILLISECONDS);
  while (rollout.lease.getHeldLease() === undefined) {
    await sleep(OBSERVE_MILLISECONDS);
  }
  // The first rollout adapts the load concurrency; the second one is measured.
  publish(versions, traffic, 2);
  await measureRollout(set, traffic, 2);
  const before = traffic.usableTokens;
  await sleep(WARM_UP_MILLISECONDS);
  const usualRate = (traffic.usableTokens - before) / WARM_UP_MILLISECONDS;
  publish(versions, traffic, 3);
  const measured = await measureRollout(set, traffic, 3);
  const result = {
    policy: options.policy,
    bound: options.boundVersions,
    allSeconds: Math.max(...measured.times) / 1000,
    meanSeconds: sum(measured.times) / measured.times.length / 1000,
    lostSeconds: (usualRate * measured.milliseconds - measured.tokens) /
      usualRate /
      1000,
    lowestSharePercent: measured.lowestRate / usualRate * 100,
    concurrency: CONCURRENCY[options.policy](rollout),
  };
  await set.close();
  await Promise.all(callers);
  return result;
}

function publish(
  versions: PublishedVersion[],
  traffic: Traffic,
  version: number,
): void {
  traffic.newest = version;
  versions.length = 0;
  versions.push({
    trainer: "dots",
    service: ENGINE_SET_SERVICE,
    version,
    location: `weights/${version}`,
  });
}

async function sendRequests(
  set: EngineSet,
  traffic: Traffic,
  boundVersions: number,
): Promise<void> {
  const { context, dispatcher } = set;
  const ledger = { add: (): void => {}, close: (): void => {} };
  for (let call = 0; !context.stopping.aborted; call += 1) {
    const outcome = await dispatcher.runCompletion({
      requestIdentifier: `call-${call}-${context.random.next()}`,
      service: ENGINE_SET_SERVICE,
      classOfWork: "rollouts",
      organisation: "guild",
      deadline: context.clock.monotonic() + LIMIT_MILLISECONDS,
      ledger,
      signal: context.stopping,
      prompt: `prompt ${context.random.nextBelow(1000)}`,
      maximumTokens: SAMPLE_TOKENS,
      minimumWeightVersion: traffic.newest - boundVersions,
      onTokens: ({ tokens, weightVersion }) => {
        const isUsable = traffic.newest - weightVersion <= boundVersions;
        if (isUsable) traffic.usableTokens += tokens;
      },
    });
    if (outcome.kind !== "finished") await sleep(RETRY_MILLISECONDS);
  }
}

async function measureRollout(
  set: EngineSet,
  traffic: Traffic,
  version: number,
): Promise<{
  readonly times: ReadonlyArray<number>;
  readonly tokens: number;
  readonly milliseconds: number;
  readonly lowestRate: number;
}> {
  const startedAt = performance.now();
  const firstTokens = traffic.usableTokens;
  const times = new Map<string, number>();
  const rates: number[] = [];
  let windowStart = startedAt;
  let windowTokens = firstTokens;
  while (times.size < set.engines.length) {
    const now = performance.now();
    if (now - startedAt > LIMIT_MILLISECONDS) break;
    for (const server of set.servers.servers(ENGINE_SET_SERVICE)) {
      const isLoaded = server.weightVersions.includes(version);
      if (isLoaded && !times.has(server.address)) {
        times.set(server.address, now - startedAt);
      }
    }
    if (now - windowStart >= 500) {
      rates.push((traffic.usableTokens - windowTokens) / (now - windowStart));
      windowStart = now;
      windowTokens = traffic.usableTokens;
    }
    await sleep(OBSERVE_MILLISECONDS);
  }
  return {
    times: [...times.values()],
    tokens: traffic.usableTokens - firstTokens,
    milliseconds: performance.now() - startedAt,
    lowestRate: Math.min(...rates),
  };
}

function printResults(results: ReadonlyArray<RunResult>): void {
  const bound = ENGINES * VERSION_BYTES / STORE_BYTES_PER_SECOND;
  console.log(
    `${ENGINES} engines, ${VERSION_BYTES / 1e6} MB a version, store ` +
      `${STORE_BYTES_PER_SECOND / 1e6} MB/s: no policy can be faster than ` +
      `${bound.toFixed(1)} s`,
  );
  console.log(
    "policy    bound  all on new  mean  lost capacity  lowest 0.5 s  loads at once",
  );
  for (const result of results) {
    console.log(
      `${result.policy.padEnd(10)}${String(result.bound).padStart(5)}` +
        `${result.allSeconds.toFixed(1).padStart(10)} s` +
        `${result.meanSeconds.toFixed(1).padStart(4)} s` +
        `${result.lostSeconds.toFixed(2).padStart(13)} s` +
        `${result.lowestSharePercent.toFixed(0).padStart(12)} %` +
        `${String(result.concurrency).padStart(15)}`,
    );
  }
  const best = results.find((result) => result.policy === "waves");
  if (best === undefined) return;
  const overhead = best.allSeconds / bound;
  const rate = PLAN_ENGINES / PLAN_SECONDS * overhead;
  console.log(
    `${PLAN_ENGINES} engines in ${PLAN_SECONDS} s: the store must feed ` +
      `${rate.toFixed(1)} versions a second (measured time over bound: ${
        overhead.toFixed(2)
      })`,
  );
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function sum(values: ReadonlyArray<number>): number {
  return values.reduce((total, value) => total + value, 0);
}

const { values } = parseArgs({ options: { seed: { type: "string" } } });
const seed = Number(values.seed ?? 1);
const results: RunResult[] = [];
for (const boundVersions of [0, 1]) {
  for (const policy of ["allAtOnce", "oneByOne", "waves"] as const) {
    results.push(await run({ seed, policy, boundVersions }));
  }
}
printResults(results);
process.exit(0);
