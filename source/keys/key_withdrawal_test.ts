import test from "ava";
import {
  createEntryBench,
  type EntryBench,
} from "../../stand_ins/entry/entry_bench.ts";
import {
  MemoryPlatform,
  type PlatformFault,
} from "../../stand_ins/entry/memory_platform.ts";
import { FactBus } from "../../stand_ins/entry/fact_bus.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { generateKey } from "./key_format.ts";

const FRESHNESS_MILLISECONDS = 8000;
const DELIVERY_DELAY_MILLISECONDS = 200;

interface Nodes {
  readonly clock: ManualClock;
  readonly platform: MemoryPlatform;
  readonly bus: FactBus;
  readonly first: EntryBench;
  readonly second: EntryBench;
}

interface WithdrawalCase {
  /** Faults of the first node's next calls to the table, one for each call; `fault` applies after them. */
  readonly nextFaults?: ReadonlyArray<PlatformFault>;
  readonly fault?: PlatformFault;
  /** Whether the second node receives the withdrawals that the first publishes. */
  readonly delivered?: boolean;
  /** Whether the second node can't reach the table. */
  readonly secondTableDown?: boolean;
}

const WITHDRAWAL_CASES: Readonly<Record<string, WithdrawalCase>> = {
  "nothing fails": {},
  "the table is down": { fault: "down" },
  "the table hangs": { fault: "hang" },
  "the table's response is lost after the commit": {
    nextFaults: ["none", "none", "none", "loseAnswer"],
  },
  "the table's response is lost after the commit, then the table is down": {
    nextFaults: ["none", "none", "none", "loseAnswer"],
    fault: "down",
  },
  "the other node receives no withdrawal": { delivered: false },
  "the other node receives no withdrawal and can't reach the table": {
    delivered: false,
    secondTableDown: true,
  },
  "the other node can't reach the table": { secondTableDown: true },
  "both tables are down": { fault: "down", secondTableDown: true },
};

for (const [title, withdrawalCase] of Object.entries(WITHDRAWAL_CASES)) {
  test(`both nodes refuse a withdrawn key within the freshness bound: ${title}`, async (t) => {
    const nodes = await createNodes({
      delivered: withdrawalCase.delivered ?? true,
    });
    const { clock, first, second } = nodes;
    const key = await issueKey(nodes);
    t.is((await second.keys.resolve(key)).kind, "accepted");
    first.platform.nextFaults.push(...withdrawalCase.nextFaults ?? []);
    first.platform.fault = withdrawalCase.fault ?? "none";
    if (withdrawalCase.secondTableDown === true) second.platform.fault = "down";
    const withdrawal = first.authority.withdraw(key.split("_")[1] ?? "");
    await clock.advance(3000);
    const outcome = await withdrawal;
    t.is((await first.keys.resolve(key)).kind, "refused");
    await clock.advance(FRESHNESS_MILLISECONDS - 3000 + 1);
    const refused = await second.keys.resolve(key);
    t.is(refused.kind, "refused");
    t.snapshot({ outcome, refused });
  });
}

test("a withdrawal published while the table was down is saved later, also by another node", async (t) => {
  for (const saver of ["first", "second"] as const) {
    const nodes = await createNodes({ delivered: true });
    const key = await issueKey(nodes);
    const identifier = key.split("_")[1] ?? "";
    nodes.first.platform.fault = "down";
    const withdrawal = nodes.first.authority.withdraw(identifier);
    await nodes.clock.advance(3000);
    t.like(await withdrawal, { kind: "withdrawn", saved: false });
    const row = nodes.platform.state.rows.get("keys", identifier);
    t.regex(row?.value ?? "", /organisation/);
    t.notRegex(row?.value ?? "", /withdrawn/);
    if (saver === "first") nodes.first.platform.fault = "none";
    for (let step = 0; step < 15; step += 1) {
      await nodes.clock.advance(1000);
      await nodes[saver].authority.saveDueWithdrawals();
    }
    const saved = nodes.platform.state.rows.get("keys", identifier);
    t.regex(saved?.value ?? "", /"withdrawn":true/);
  }
});

test("a node that starts during an outage accepts no key", async (t) => {
  const nodes = await createNodes({ delivered: true });
  const key = await issueKey(nodes);
  const identifier = key.split("_")[1] ?? "";
  nodes.first.platform.fault = "down";
  void nodes.first.authority.withdraw(identifier);
  await nodes.clock.advance(3000);
  const platform = shareRows(nodes.platform);
  platform.fault = "down";
  const started = createEntryBench({
    node: "node-3",
    clock: nodes.clock,
    platform,
    replicatedFacts: nodes.bus.join("node-3"),
  });
  started.peerKeyAge = 0;
  await started.keys.refresh();
  t.like(await started.keys.resolve(key), { error: "staleKeys" });
});

test("a withdrawal received during a table look-up is applied", async (t) => {
  const nodes = await createNodes({ delivered: true });
  const generated = generateKey();
  const key = generated.key;
  nodes.platform.state.rows.commit({
    conditions: [],
    writes: [{
      table: "keys",
      key: generated.identifier,
      value: JSON.stringify({
        keyIdentifier: generated.identifier,
        secretDigest: generated.secretDigest,
        organisation: "school",
      }),
    }],
  });
  t.is((await nodes.second.keys.resolve(key)).kind, "accepted");
  const resolving = nodes.first.keys.resolve(key);
  nodes.first.keys.applyWithdrawal(generated.identifier);
  t.like(await resolving, { error: "keyWithdrawn" });
});

test("table look-ups of random keys stay within the rate limit", async (t) => {
  const nodes = await createNodes({ delivered: true });
  const before = nodes.second.platform.calls;
  for (let index = 0; index < 500; index += 1) {
    const refused = await nodes.second.keys.resolve(generateKey().key);
    t.is(refused.kind, "refused");
  }
  t.true(nodes.second.platform.calls - before <= 20);
});

test("a key is stored as a digest and never logged", async (t) => {
  const nodes = await createNodes({ delivered: true });
  const key = await issueKey(nodes);
  await nodes.first.keys.resolve(key);
  const { rows } = nodes.platform.state;
  const stored = ["keys", "key_changes"].flatMap((table) =>
    rows.list(table, { prefix: "" }).map(({ value }) => value)
  );
  t.true(stored.length > 0);
  const secret = key.split("_")[2] ?? "";
  t.false(stored.join().includes(secret));
  t.false(JSON.stringify(nodes.first.log.events).includes(secret));
});

async function createNodes(
  options: { readonly delivered: boolean },
): Promise<Nodes> {
  const clock = new ManualClock();
  const platform = new MemoryPlatform();
  const bus = new FactBus({
    clock,
    delayMilliseconds: DELIVERY_DELAY_MILLISECONDS,
  });
  const isolatedBus = new FactBus({ clock, delayMilliseconds: 0 });
  const [first, second] = ["node-1", "node-2"].map((node, index) =>
    createEntryBench({
      node,
      clock,
      platform: shareRows(platform),
      replicatedFacts: (index === 0 || options.delivered ? bus : isolatedBus)
        .join(node),
      settings: { keyFreshnessMilliseconds: FRESHNESS_MILLISECONDS },
    })
  ) as [EntryBench, EntryBench];
  void first.keys.run();
  void second.keys.run();
  await clock.advance(1);
  return { clock, platform, bus, first, second };
}

// Gives each node its own faults while all nodes share the rows.
function shareRows(platform: MemoryPlatform): MemoryPlatform {
  return new MemoryPlatform(platform.state);
}

async function issueKey(nodes: Nodes): Promise<string> {
  const given = await nodes.first.authority.issue({
    organisation: "school",
    trainer: false,
  });
  await nodes.clock.advance(3000);
  return given.kind === "given" ? given.key : "";
}
