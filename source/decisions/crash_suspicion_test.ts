import test from "ava";
import {
  type CrashModelOptions,
  runCrashModel,
} from "../../stand_ins/decisions/crash_model.ts";
import {
  addCrash,
  addTrial,
  type CrashRecord,
  decideSuspect,
  isForgotten,
} from "./crash_suspicion.ts";

const NOW = 1_000_000_000;
/** Number of runs that the users allow later than 3 s after the third crash. */
const ALLOWED_LATE_RUNS = 3;
const RUNS = Number(process.env["CRASH_RUNS"] ?? 4);

const LOAD: CrashModelOptions = {
  seed: 1,
  nodes: 10,
  servers: 3,
  durationMilliseconds: 90_000,
  crashingInterval: 200,
  popularInterval: 40,
  attempts: 3,
  runMilliseconds: 36,
  restartMilliseconds: 3000,
  newsMilliseconds: 30,
};

function toRecord(crashes: number, at = NOW): CrashRecord | undefined {
  let record: CrashRecord | undefined;
  for (let index = 0; index < crashes; index += 1) {
    record = addCrash(record, { server: `s${index}`, startedAt: 1, at });
  }
  return record;
}

function describe(
  { record, now, servers = [] }: {
    readonly record: CrashRecord | undefined;
    readonly now: number;
    readonly servers?: ReadonlyArray<string>;
  },
): string {
  const decision = decideSuspect(record, {
    now,
    servers: servers.map((identifier) => ({ identifier, startedAt: 1 })),
  });
  return decision.kind === "reject"
    ? `reject for ${decision.retryAfterMilliseconds} ms`
    : decision.kind;
}

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly record: CrashRecord | undefined;
  readonly now: number;
  readonly servers?: ReadonlyArray<string>;
  readonly decision: string;
}> = [
  {
    title: "without a crash is sent",
    record: undefined,
    now: NOW,
    decision: "send",
  },
  {
    title: "under which one server ended is sent",
    record: toRecord(1),
    now: NOW,
    decision: "send",
  },
  {
    title: "under which two servers ended is held",
    record: toRecord(2),
    now: NOW + 1000,
    decision: "reject for 2000 ms",
  },
  {
    title: "that was held is tried",
    record: toRecord(2),
    now: NOW + 3000,
    decision: "try",
  },
  {
    title: "that was held is tried soon if enough servers run",
    record: toRecord(2),
    now: NOW + 1000,
    servers: ["s2", "s3"],
    decision: "try",
  },
  {
    title: "that was held is not tried soon if its crash would end the service",
    record: toRecord(2),
    now: NOW + 1000,
    servers: ["s0", "s1", "s2"],
    decision: "reject for 2000 ms",
  },
  {
    title: "whose trial failed is held for longer, whatever servers run",
    record: addTrial(toRecord(2) ?? raise(), NOW),
    now: NOW + 5000,
    servers: ["s2", "s3"],
    decision: "reject for 55000 ms",
  },
  {
    title: "on trial is held until the trial has ended",
    record: addTrial(toRecord(2) ?? raise(), NOW + 3000),
    now: NOW + 3500,
    decision: "reject for 1500 ms",
  },
  {
    title: "whose trial ended a server is held for longer",
    record: addCrash(addTrial(toRecord(2) ?? raise(), NOW + 3000), {
      server: "s9",
      startedAt: 1,
      at: NOW + 3100,
    }),
    now: NOW + 3100,
    decision: "reject for 60000 ms",
  },
  {
    title: "whose only crash is long ago is sent",
    record: toRecord(1),
    now: NOW + 700_000,
    decision: "send",
  },
];

for (const { title, decision, ...situation } of CASES) {
  test(`a request ${title}`, (t) => {
    t.is(describe(situation), decision);
  });
}

test("the end of one server counts once, whichever nodes report it", (t) => {
  const record = toRecord(1) ?? raise();
  const again = addCrash(record, { server: "s0", startedAt: 1, at: NOW + 5 });
  t.is(again, record);
});

test("a server's next start counts as another server", (t) => {
  const record = addCrash(toRecord(1), {
    server: "s0",
    startedAt: 2,
    at: NOW + 5,
  });
  t.is(record.crashes.length, 2);
});

test("a record lists the newest crashes only", (t) => {
  t.is(toRecord(500)?.crashes.length, 20);
  t.is(toRecord(500)?.crashes.at(-1)?.server, "s499");
});

test("old crashes are forgotten", (t) => {
  t.false(isForgotten(toRecord(2) ?? raise(), NOW + 80_000_000));
  t.true(isForgotten(toRecord(2) ?? raise(), NOW + 90_000_000));
  const record = addCrash(toRecord(2), {
    server: "s0",
    startedAt: 3,
    at: NOW + 90_000_000,
  });
  t.is(record.crashes.length, 1);
});

test("replay: a repeated request reaches few servers after the third, and others are served", (t) => {
  for (let seed = 1; seed <= RUNS; seed += 1) {
    for (const nodes of [1, 3, 10, 40]) {
      for (const newsMilliseconds of [10, 400, 2500]) {
        const load = { ...LOAD, seed, nodes, newsMilliseconds };
        const { lateRuns } = runCrashModel(load);
        t.true(
          lateRuns <= ALLOWED_LATE_RUNS,
          `seed ${seed}, ${nodes} nodes, news after ${newsMilliseconds} ms: ${lateRuns}`,
        );
      }
    }
  }
  const now = runCrashModel(LOAD);
  const before = runCrashModel({ ...LOAD, decide: () => ({ kind: "send" }) });
  t.snapshot({ before, now });
  t.true(now.servedShare > before.servedShare);
});

test("replay: after a loss of power, a popular request is served as soon as it would be without holds", (t) => {
  for (let seed = 1; seed <= RUNS; seed += 1) {
    const load = {
      ...LOAD,
      seed,
      servers: 20,
      crashingInterval: undefined,
      popularInterval: 5,
      durationMilliseconds: 20_000,
      powerLossAt: 10_000,
    };
    const { popularOutage } = runCrashModel(load);
    t.true(popularOutage < 3300, `seed ${seed}: ${popularOutage}`);
  }
});

function raise(): never {
  throw new Error("A record was expected");
}
