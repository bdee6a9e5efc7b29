import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { ServerLimits } from "./server_limits.ts";
import { WarmUpLimits } from "./warm_up_limits.ts";

test("a limit is logged when it is named, is used and is lifted", async (t) => {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const limits = new ServerLimits({ node: "n1", clock, log });
  const server = createServerEntry("e1");
  limits.recordAnswer(server, undefined);
  limits.recordAnswer(server, 2);
  limits.recordAnswer(server, 3);
  limits.recordRequest("e1");
  limits.recordRequest("e2");
  await clock.advance(1000);
  limits.recordRequest("e1");
  t.is(limits.size, 1);
  limits.recordAnswer(server, undefined);
  t.is(limits.size, 0);
  t.deepEqual(log.events.map(({ name, fields }) => [name, fields]), [
    ["serverLimitNamed", { server: "e1", requestsPerSecond: 2 }],
    ["serverLimitUsed", {
      server: "e1",
      requestsPerSecond: 3,
      share: 3,
      sent: 2,
      milliseconds: 1000,
    }],
    ["serverLimitLifted", { server: "e1" }],
  ]);
});

test("a limit that another node publishes holds until that node names it no longer", (t) => {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const limits = new ServerLimits({ node: "n1", clock, log });
  const record = {
    identifier: "e1",
    startedAt: 0,
    requestsPerSecond: 1,
    demand: 1,
  };
  limits.apply({
    records: [record],
    nodes: ["n1", "n2"],
    heartbeatMilliseconds: 300,
  });
  limits.recordRequest("e1");
  t.true(limits.getWait("e1") > 0);
  limits.apply({
    records: [],
    nodes: ["n1", "n2"],
    heartbeatMilliseconds: 300,
  });
  t.is(limits.getWait("e1"), 0);
});

test("an answer without a limit prevails over an older one of another node", async (t) => {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const limits = new ServerLimits({ node: "n1", clock, log });
  const record = {
    identifier: "e1",
    startedAt: 0,
    requestsPerSecond: 1,
    demand: undefined,
  };
  const news = {
    records: [record],
    nodes: ["n1", "n2"],
    heartbeatMilliseconds: 300,
  };
  limits.apply(news);
  limits.recordAnswer(createServerEntry("e1"), undefined);
  limits.apply(news);
  t.is(limits.size, 0);
  await clock.advance(6000);
  limits.apply(news);
  t.is(limits.size, 1);
});

test("a server that was started again has no limit of its earlier start", (t) => {
  const clock = new ManualClock();
  const limits = new ServerLimits({
    node: "n1",
    clock,
    log: new RecordingEventLog(),
  });
  limits.recordAnswer(createServerEntry("e1", { startedAt: 1 }), 0.5);
  limits.recordRequest("e1");
  limits.recordAnswer(createServerEntry("e1", { startedAt: 2 }), 8);
  t.is(limits.toRecords()[0]?.startedAt, 2);
  t.is(limits.toRecords()[0]?.requestsPerSecond, 8);
});

test("the limit of a server that left the table is forgotten", (t) => {
  const limits = new ServerLimits({
    node: "n1",
    clock: new ManualClock(),
    log: new RecordingEventLog(),
  });
  limits.recordAnswer(createServerEntry("e1"), 2);
  limits.removeUnregistered(() => false);
  t.is(limits.size, 0);
});

test("a node that serves no callers does not send the first request after a pause", (t) => {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const nodes = Array.from({ length: 20 }, (_unused, index) => `n${index}`);
  const limits = new ServerLimits({ node: "new", clock, log });
  limits.apply({ records: [], nodes, heartbeatMilliseconds: 300 });
  limits.recordAnswer(createServerEntry("e1"), 2);
  t.true(limits.getWait("e1") > 0);
});

// Guards against a server that is in need and in warm-up and gets what only one of both allows.
test("the lower one of a named limit and a warm-up holds", (t) => {
  for (const [named, perSecond] of [[1, 13], [13, 1]] as const) {
    const clock = new ManualClock();
    const warmUps = new WarmUpLimits({
      node: "n1",
      clock,
      bounds: { warmUpOverageFactor: 1.5, warmUpSlackRequests: 5 },
      findService: () => "s",
      onMoreRoom: () => {},
    });
    const log = new RecordingEventLog();
    const limits = new ServerLimits({ node: "n1", clock, log, warmUps });
    warmUps.set("e1", {
      service: "s",
      requestsPerSecond: perSecond,
      endsAt: 3000,
    });
    limits.recordAnswer(createServerEntry("e1"), named);
    limits.recordRequest("e1");
    t.true(limits.getWait("e1") >= 900, `${limits.getWait("e1")} ms`);
    t.is(limits.size, 2);
    t.is(limits.limitedServers, 1);
  }
});

test("a service without warm-up publishes no demand and limits nothing", (t) => {
  const clock = new ManualClock();
  const warmUps = new WarmUpLimits({
    node: "n1",
    clock,
    bounds: { warmUpOverageFactor: 1.5, warmUpSlackRequests: 5 },
    findService: () => undefined,
    onMoreRoom: () => t.fail(),
  });
  const log = new RecordingEventLog();
  const limits = new ServerLimits({ node: "n1", clock, log, warmUps });
  for (let count = 0; count < 100; count += 1) limits.recordRequest("e1");
  limits.recordNeed(["e1"], 5);
  t.is(limits.getWait("e1"), 0);
  t.is(limits.estimateWait(["e1"], 9), 0);
  t.is(limits.size, 0);
  t.deepEqual([...warmUps.toDemands()], []);
  t.deepEqual(limits.toRecords(), []);
});
