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

interface Fixture {
  readonly platform: MemoryPlatform;
  readonly store: ConfigurationStore;
  readonly clock: ManualClock;
  readonly apply: (
    name: string,
    expectedRevision: number,
  ) => Promise<string>;
}

function createFixture(): Fixture {
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
  /** Whether the reads after the commit fail too. */
  readonly failsReads: boolean;
}

const FAULT_CASES: Readonly<Record<string, FaultCase>> = {
  "table down": { fault: "down", failsReads: true },
  "commit rejected": { fault: "down", failsReads: false },
  "response lost": { fault: "loseAnswer", failsReads: false },
  "response lost, then table down": { fault: "loseAnswer", failsReads: true },
};

for (const [name, { fault, failsReads }] of Object.entries(FAULT_CASES)) {
  test(`apply with ${name}, twice in a row`, async (t) => {
    const fixture = createFixture();
    const outcomes: string[] = [await fixture.apply("first", 0)];
    for (const round of [1, 2]) {
      const { platform, clock } = fixture;
      platform.tableFault = fault === "down" && !failsReads ? "none" : fault;
      const commit = platform.table.commit;
      const client = platform.table as { commit: typeof commit };
      client.commit = async (transaction) => {
        platform.tableFault = fault;
        const outcome = await commit(transaction);
        platform.tableFault = failsReads ? "down" : "none";
        return outcome;
      };
      const applied = fixture.apply(`round-${round}`, 1);
      for (let step = 0; step < 20; step += 1) await clock.advance(100);
      outcomes.push(await applied);
      client.commit = commit;
      platform.tableFault = "none";
    }
    const current = await fixture.store.read();
    const history = await fixture.store.history(10);
    t.snapshot({
      outcomes,
      current: current.kind === "ok" && Number(current.value?.revision),
      history: history.kind === "ok" &&
        history.value.map(({ revision, note }) => `${revision} ${note}`),
    });
  });
}

test("of two concurrent operators one succeeds, and the other receives the accepted revision", async (t) => {
  const fixture = createFixture();
  const rounds: string[][] = [];
  for (const revision of [0, 1, 2]) {
    const outcomes = await Promise.all([
      fixture.apply(`left-${revision}`, revision),
      fixture.apply(`right-${revision}`, revision),
    ]);
    rounds.push(outcomes);
  }
  t.snapshot(rounds);
});

test("a commit without a response is accepted even after another operator applied a later revision", async (t) => {
  const fixture = createFixture();
  const { platform, clock } = fixture;
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
      t.is(await fixture.apply("next", 1), "accepted 2 next");
    }
    return get(table, key);
  };
  const applied = fixture.apply("first", 0);
  await clock.advance(1000);
  t.is(await applied, "accepted 1 first");
});

test("applying a declaration twice changes nothing, and an outdated expected revision is a conflict", async (t) => {
  const fixture = createFixture();
  t.snapshot([
    await fixture.apply("a", 0),
    await fixture.apply("a", 0),
    await fixture.apply("a", 1),
    await fixture.apply("b", 0),
    await fixture.apply("b", 1),
    await fixture.apply("c", 7),
  ]);
});

test("a malformed row is returned as a failure, not thrown", async (t) => {
  const fixture = createFixture();
  fixture.platform.write("configuration", "current", "{");
  t.is(await fixture.apply("a", 0), "unavailable");
  t.is((await fixture.store.read()).kind, "notRun");
});
