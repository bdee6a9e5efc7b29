import test from "ava";
import { create } from "@bufbuild/protobuf";
import {
  type Declaration,
  DeclarationSchema,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import {
  MemoryPlatform,
  type TableFault,
} from "../../stand_ins/membership/memory_platform.ts";
import type { ApplyOutcome } from "../operators/configuration_writer.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { ConfigurationStore } from "./configuration_store.ts";

function declare(name: string): Declaration {
  return create(DeclarationSchema, { organisations: [{ name }] });
}

function describe(outcome: ApplyOutcome): string {
  if (outcome.kind === "unavailable") {
    return `unavailable${outcome.unknown ? ", unknown" : ""}`;
  }
  return `${outcome.kind} ${outcome.record.revision} ${outcome.record.note}`;
}

interface Bench {
  readonly platform: MemoryPlatform;
  readonly store: ConfigurationStore;
  readonly clock: ManualClock;
  readonly apply: (
    name: string,
    expectedRevision: number,
  ) => Promise<string>;
}

function createBench(): Bench {
  const platform = new MemoryPlatform();
  const clock = new ManualClock();
  const store = new ConfigurationStore(platform.table, clock);
  return {
    platform,
    store,
    clock,
    apply: async (name, expectedRevision) => {
      const request = { expectedRevision, note: name };
      return describe(await store.apply(declare(name), request));
    },
  };
}

interface FaultCase {
  readonly fault: TableFault;
  /** Whether the fault also meets what is read after the commit. */
  readonly alsoReads: boolean;
}

const FAULT_CASES: Readonly<Record<string, FaultCase>> = {
  "table down": { fault: "down", alsoReads: true },
  "commit refused": { fault: "down", alsoReads: false },
  "answer lost": { fault: "loseAnswer", alsoReads: false },
  "answer lost, then table down": { fault: "loseAnswer", alsoReads: true },
};

for (const [name, { fault, alsoReads }] of Object.entries(FAULT_CASES)) {
  test(`apply with ${name}, twice in a row`, async (t) => {
    const bench = createBench();
    const seen: string[] = [await bench.apply("first", 0)];
    for (const round of [1, 2]) {
      const { platform, clock } = bench;
      platform.tableFault = fault === "down" && !alsoReads ? "none" : fault;
      const commit = platform.table.commit;
      const client = platform.table as { commit: typeof commit };
      client.commit = async (transaction) => {
        platform.tableFault = fault;
        const outcome = await commit(transaction);
        platform.tableFault = alsoReads ? "down" : "none";
        return outcome;
      };
      const applied = bench.apply(`round-${round}`, 1);
      for (let step = 0; step < 20; step += 1) await clock.advance(100);
      seen.push(await applied);
      client.commit = commit;
      platform.tableFault = "none";
    }
    const current = await bench.store.read();
    const history = await bench.store.history(10);
    t.snapshot({
      seen,
      current: current.kind === "ok" && Number(current.value?.revision),
      history: history.kind === "ok" &&
        history.value.map(({ revision, note }) => `${revision} ${note}`),
    });
  });
}

test("of two operators that race one wins, and the other is told the winner", async (t) => {
  const bench = createBench();
  const seen: string[][] = [];
  for (const revision of [0, 1, 2]) {
    const outcomes = await Promise.all([
      bench.apply(`left-${revision}`, revision),
      bench.apply(`right-${revision}`, revision),
    ]);
    seen.push(outcomes);
  }
  t.snapshot(seen);
});

test("a lost answer is accepted even when another operator has gone on since", async (t) => {
  const bench = createBench();
  const { platform, clock } = bench;
  platform.tableFault = "loseAnswer";
  platform.faultyCommits = 1;
  const get = platform.table.get;
  const client = platform.table as { get: typeof get };
  let reads = 0;
  client.get = async (table, key) => {
    reads += 1;
    if (reads === 2) {
      platform.tableFault = "none";
      client.get = get;
      t.is(await bench.apply("next", 1), "accepted 2 next");
    }
    return get(table, key);
  };
  const applied = bench.apply("first", 0);
  await clock.advance(1000);
  t.is(await applied, "accepted 1 first");
});

test("applying twice changes nothing, and a stale expectation is a conflict", async (t) => {
  const bench = createBench();
  t.snapshot([
    await bench.apply("a", 0),
    await bench.apply("a", 0),
    await bench.apply("a", 1),
    await bench.apply("b", 0),
    await bench.apply("b", 1),
    await bench.apply("c", 7),
  ]);
});

test("a damaged row is told, not thrown", async (t) => {
  const bench = createBench();
  bench.platform.write("configuration", "current", "{");
  t.is(await bench.apply("a", 0), "unavailable");
  t.is((await bench.store.read()).kind, "notRun");
});
