import test from "ava";
import {
  MembershipGroup,
  waitUntil,
} from "../../stand_ins/membership/membership_group.ts";
import { SystemClock } from "../utilities/system_clock.ts";

const NODES = 3;
const KEY_FRESHNESS_MILLISECONDS = 8000;
const OUTAGE_MILLISECONDS = 9500;

test("nodes that hear each other keep a fresh view of keys while the table is away", async (t) => {
  const group = new MembershipGroup();
  t.teardown(() => group.close());
  for (let index = 0; index < NODES; index += 1) {
    await group.start(`node-${index}`);
  }
  const members = [...group.members.values()];
  await waitUntil(
    () =>
      members.every(({ membership }) =>
        membership.peers.keyAgeMilliseconds() < KEY_FRESHNESS_MILLISECONDS
      ),
    "all nodes have a fresh view of keys",
  );
  group.platform.tableFault = "down";
  await new SystemClock().sleep(OUTAGE_MILLISECONDS);
  for (const { membership } of members) {
    t.true(
      membership.peers.keyAgeMilliseconds() < KEY_FRESHNESS_MILLISECONDS,
    );
  }
});
