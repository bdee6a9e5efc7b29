import test from "ava";
import {
  MembershipGroup,
  waitUntil,
} from "../../stand_ins/membership/membership_group.ts";
import { SystemClock } from "../utilities/system_clock.ts";

const NODES = 3;
const KEY_FRESHNESS_MILLISECONDS = 8000;
const OUTAGE_MILLISECONDS = 9500;
const CHECK_MILLISECONDS = 250;
/**
 * Maximum time from the end of the outage until all views of keys are fresh; half the freshness
 * limit, within which a node reads the table four times.
 */
const RECOVERY_LIMIT_MILLISECONDS = KEY_FRESHNESS_MILLISECONDS / 2;

test("heartbeats between nodes never make a view of keys younger than the last read of the table", async (t) => {
  const group = new MembershipGroup();
  t.teardown(() => group.close());
  for (let index = 0; index < NODES; index += 1) {
    await group.start(`node-${index}`);
  }
  const clock = new SystemClock();
  const ages = (): ReadonlyArray<number> =>
    [...group.members.values()].map(({ membership }) =>
      membership.peers.keyAgeMilliseconds()
    );
  await waitUntil(
    () => ages().every((age) => age < KEY_FRESHNESS_MILLISECONDS),
    "all nodes have a fresh view of keys",
  );
  // From now on, a withdrawal could be written to the table without any node reading it.
  group.platform.tableFault = "down";
  const downAt = clock.monotonic();
  while (clock.monotonic() - downAt < OUTAGE_MILLISECONDS) {
    await clock.sleep(CHECK_MILLISECONDS);
    const since = clock.monotonic() - downAt;
    for (const age of ages()) t.true(age >= since - CHECK_MILLISECONDS);
  }
  for (const age of ages()) t.true(age > KEY_FRESHNESS_MILLISECONDS);
  group.platform.tableFault = "none";
  const restoredAt = clock.monotonic();
  await waitUntil(
    () => ages().every((age) => age < KEY_FRESHNESS_MILLISECONDS),
    "all nodes have a fresh view again",
  );
  t.true(clock.monotonic() - restoredAt < RECOVERY_LIMIT_MILLISECONDS);
});
