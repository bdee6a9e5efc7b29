import test from "ava";
import {
  type StaleCallFigures,
  StaleCallModel,
} from "../../stand_ins/decisions/stale_call_model.ts";
import { createRendezvous } from "../membership/rendezvous.ts";

const SEED = 3;

// Guards against nodes that overload the same plain servers in turn, since each knows the calls of
// the others only from their heartbeats.
test("80 nodes with an old view of each other's calls overload plain servers less often", async (t) => {
  const rendezvous = await createRendezvous();
  const results: Record<
    string,
    { readonly before: StaleCallFigures; readonly now: StaleCallFigures }
  > = {};
  for (const callMilliseconds of [60, 1000]) {
    for (const load of [0.3, 0.6, 0.85]) {
      const options = {
        seed: SEED,
        nodes: 80,
        servers: 34,
        load,
        callMilliseconds,
      };
      const run = (isShared: boolean): StaleCallFigures =>
        new StaleCallModel(options, { isShared, rendezvous }).run();
      results[`calls of ${callMilliseconds} ms, load ${load}`] = {
        before: run(false),
        now: run(true),
      };
    }
  }
  t.snapshot(results);
  for (const [title, { before, now }] of Object.entries(results)) {
    t.is(now.calls, before.calls);
    t.true(now.overfull < before.overfull, `${title}: ${now.overfull}`);
  }
});

test("a node that is alone at a service chooses as without shares", async (t) => {
  const rendezvous = await createRendezvous();
  const options = {
    seed: SEED,
    nodes: 1,
    servers: 9,
    load: 0.6,
    callMilliseconds: 300,
  };
  t.deepEqual(
    new StaleCallModel(options, { isShared: true, rendezvous }).run(),
    new StaleCallModel(options, { isShared: false, rendezvous }).run(),
  );
});
