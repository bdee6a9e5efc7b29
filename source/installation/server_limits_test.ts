import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { ServerLimits } from "./server_limits.ts";

test("a limit is logged when it is named, changes, is used and is lifted", async (t) => {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const limits = new ServerLimits({ clock, log });
  const server = createServerEntry("e1");
  limits.recordAnswer(server, undefined);
  limits.recordAnswer(server, 2);
  limits.recordAnswer(server, 2);
  limits.recordRequest("e1");
  limits.recordRequest("e2");
  await clock.advance(1000);
  limits.recordRequest("e1");
  limits.recordAnswer(server, 3);
  t.is(limits.size, 1);
  limits.recordAnswer(server, undefined);
  t.is(limits.size, 0);
  t.deepEqual(log.events.map(({ name, fields }) => [name, fields]), [
    ["serverLimitNamed", { server: "e1", requestsPerSecond: 2 }],
    ["serverLimitUsed", {
      server: "e1",
      requestsPerSecond: 2,
      sent: 2,
      milliseconds: 1000,
    }],
    ["serverLimitNamed", { server: "e1", requestsPerSecond: 3 }],
    ["serverLimitLifted", { server: "e1" }],
  ]);
});

test("the limit of a server that left the table is forgotten", (t) => {
  const limits = new ServerLimits({
    clock: new ManualClock(),
    log: new RecordingEventLog(),
  });
  limits.recordAnswer(createServerEntry("e1"), 2);
  limits.removeUnregistered(() => false);
  t.is(limits.size, 0);
});
