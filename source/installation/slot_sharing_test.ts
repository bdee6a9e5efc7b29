import test from "ava";
import { createRendezvous } from "../membership/rendezvous.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { EngineUseRecord } from "./node_record.ts";
import { type NodeUse, SlotSharing } from "./slot_sharing.ts";

const SERVER = { identifier: "e1", service: "s", slots: 6 };
const NODES = Array.from({ length: 4 }, (_unused, index) => `n${index}`);

function use(running: EngineUseRecord["running"]): EngineUseRecord {
  return { running, loads: [] };
}

async function createSharing(
  node: string,
  clock = new ManualClock(),
): Promise<SlotSharing> {
  return new SlotSharing({
    node,
    clock,
    rendezvous: await createRendezvous(),
    findService: (server) => server.startsWith("e") ? "s" : "other",
  });
}

function countShare(
  sharing: SlotSharing,
  elsewhere: number,
): number {
  let running = 0;
  while (sharing.isWithinShare(SERVER, { running, elsewhere })) running += 1;
  return running;
}

test("the nodes that use a service share its free slots, and the others lend theirs", async (t) => {
  let shares = 0;
  for (const node of NODES) {
    const sharing = await createSharing(node);
    const uses: ReadonlyArray<NodeUse> = [
      ...NODES.filter((other) => other !== node).map((other) => ({
        node: other,
        engineUse: use({ e9: 1 }),
      })),
      { node: "idle", engineUse: undefined },
      { node: "elsewhere", engineUse: use({ x1: 3 }) },
    ];
    sharing.apply(uses);
    t.is(sharing.countNodes("s"), NODES.length);
    shares += countShare(sharing, 0);
  }
  t.is(shares, SERVER.slots);
});

test("a node without heartbeats of others keeps the share that is safe", async (t) => {
  const sharing = await createSharing("n0");
  const uses = NODES.slice(1).map((node) => ({
    node,
    engineUse: use({ e9: 1 }),
  }));
  sharing.apply(uses);
  const share = countShare(sharing, 0);
  sharing.apply([]);
  t.is(countShare(sharing, 0), share);
  sharing.apply([{ node: "n1", engineUse: undefined }]);
  t.is(countShare(sharing, 0), SERVER.slots);
});

test("what other nodes may still believe to be used is not given up and taken twice", async (t) => {
  const clock = new ManualClock();
  const sharing = await createSharing("n0", clock);
  const uses = NODES.slice(1).map((node) => ({
    node,
    engineUse: use({ e1: 1, e9: 1 }),
  }));
  sharing.apply(uses);
  sharing.recordPublished({ e1: 3 });
  await clock.advance(600);
  t.is(countShare(sharing, 3), 3);
  sharing.recordPublished({ e1: 1 });
  // Another node may already know that only one is in use.
  t.true(countShare(sharing, 3) < 3);
  await clock.advance(600);
  sharing.recordPublished({ e1: 3 });
  t.true(countShare(sharing, 3) < 3);
  await clock.advance(600);
  sharing.recordPublished({ e1: 3 });
  t.is(countShare(sharing, 3), 3);
});

test("nodes break ties differently", async (t) => {
  const servers = ["e1", "e2", "e3", "e4", "e5", "e6"];
  const first = new Set<string | undefined>();
  for (const node of NODES) {
    const sharing = await createSharing(node);
    const ties = servers.map((server) => sharing.breakTie(server));
    t.true(ties.every((tie) => tie >= 0 && tie < 1));
    first.add(servers[ties.indexOf(Math.min(...ties))]);
  }
  t.true(first.size > 1);
});
