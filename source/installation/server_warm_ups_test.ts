import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import type { Configuration, ServiceWarmUp } from "./configuration.ts";
import { ServerWarmUps } from "./server_warm_ups.ts";
import type { ServerWarmUp } from "./warm_up_limits.ts";

const WARM_UP: ServiceWarmUp = {
  durationMilliseconds: 3000,
  requestsPerSecond: 13,
};

class World {
  readonly clock = new ManualClock();
  readonly log = new RecordingEventLog();
  /** End of the last warm-up that was set, by server. */
  readonly ends = new Map<string, number>();
  readonly entries = new Map<string, BackendServerEntry>();
  readonly versions = new Map<string, number>();
  readonly evacuationEnds = new Map<string, number>();
  evacuatedDomains: ReadonlySet<string> = new Set();
  configuration: Configuration | undefined;
  readonly warmUps: ServerWarmUps;

  constructor(warmUp: ServiceWarmUp | undefined = WARM_UP) {
    this.setWarmUp(warmUp);
    const { entries, versions } = this;
    this.warmUps = new ServerWarmUps({
      clock: this.clock,
      log: this.log,
      operator: this,
      servers: {
        servers: entries,
        isLoaded: true,
        getRowVersion: (identifier) => versions.get(identifier) ?? 0,
      },
      limits: {
        set: (identifier: string, { endsAt }: ServerWarmUp) =>
          this.ends.set(identifier, endsAt),
        remove: (identifier: string) => this.ends.delete(identifier),
        getSent: () => 0,
      },
      stopping: new AbortController().signal,
    });
    this.warmUps.updateOperator();
  }

  setWarmUp(warmUp: ServiceWarmUp | undefined): void {
    this.configuration = {
      services: new Map([["s", { name: "s", warmUp }]]),
    } as unknown as Configuration;
  }

  put(
    identifier: string,
    version: number,
    fields: Partial<BackendServerEntry> = {},
  ): BackendServerEntry {
    const entry = createServerEntry(identifier, fields);
    this.entries.set(identifier, entry);
    this.versions.set(identifier, version);
    return entry;
  }

  evacuate(domain: string): void {
    this.evacuatedDomains = new Set([domain]);
    this.warmUps.updateOperator();
  }

  endEvacuation(domain: string, version: number): void {
    this.evacuatedDomains = new Set();
    this.evacuationEnds.set(domain, version);
    this.warmUps.updateOperator();
  }

  /** Time until the end of a server's warm-up, in milliseconds. */
  left(identifier: string): number {
    const end = this.ends.get(identifier) ?? 0;
    return Math.max(0, end - this.clock.monotonic());
  }
}

test("a server that was there at the first read is in warm-up only if its entry says so", (t) => {
  const world = new World();
  world.put("e1", 1, { warmUpMilliseconds: undefined });
  world.put("e2", 1, { warmUpMilliseconds: 0 });
  world.put("e3", 1, { warmUpMilliseconds: 1200 });
  world.warmUps.updateServers();
  t.deepEqual(["e1", "e2", "e3"].map((each) => world.left(each)), [0, 0, 1200]);
});

// Guards against requests to a server that has just started before its first heartbeat says so.
test("a server that starts is in warm-up for the time that its entry or its service names", (t) => {
  const world = new World();
  world.put("e1", 1, { startedAt: 1 });
  world.warmUps.updateServers();
  world.put("e1", 2, { startedAt: 2, warmUpMilliseconds: undefined });
  world.put("e2", 3, { warmUpMilliseconds: undefined });
  world.put("e3", 4, { warmUpMilliseconds: 2500 });
  world.warmUps.updateServers();
  t.deepEqual(["e1", "e2", "e3"].map((each) => world.left(each)), [
    3000,
    3000,
    2500,
  ]);
});

// Guards against a warm-up that never ends as a snapshot returns the same row again.
test("reading an unchanged row again does not extend a warm-up", async (t) => {
  const world = new World();
  world.put("e1", 1, { warmUpMilliseconds: 2000 });
  world.warmUps.updateServers();
  await world.clock.advance(1500);
  world.warmUps.updateServers();
  t.is(world.left("e1"), 500);
  world.put("e1", 2, { warmUpMilliseconds: 2000 });
  world.warmUps.updateServers();
  t.is(world.left("e1"), 2000);
});

test("the newer of an entry and a health check prevails", async (t) => {
  const world = new World();
  const entry = world.put("e1", 1);
  world.warmUps.updateServers();
  world.warmUps.recordHealthCheck(entry, 2500);
  t.is(world.left("e1"), 2500);
  await world.clock.advance(200);
  // The row may have been written before the response.
  world.put("e1", 2, { warmUpMilliseconds: 0 });
  world.warmUps.updateServers();
  t.is(world.left("e1"), 2300);
  await world.clock.advance(1200);
  world.put("e1", 3, { warmUpMilliseconds: 0 });
  world.warmUps.updateServers();
  t.is(world.left("e1"), 0);
  world.warmUps.recordHealthCheck({ ...entry, startedAt: 7 }, 2500);
  t.is(world.left("e1"), 0, "a response of another start");
});

// Guards against a burst at the end of an evacuation, when the entries still name no warm-up.
test("a server is in warm-up from the end of an evacuation to an entry that was written after it", async (t) => {
  const world = new World();
  world.put("e1", 1);
  world.put("e2", 2, { failureDomain: "b" });
  world.put("e3", 9);
  world.warmUps.updateServers();
  world.evacuate("a");
  world.endEvacuation("a", 8);
  t.deepEqual(["e1", "e2", "e3"].map((each) => world.left(each)), [3000, 0, 0]);
  await world.clock.advance(300);
  world.put("e1", 7);
  world.warmUps.updateServers();
  t.is(world.left("e1"), 2700, "an entry from before the end");
  await world.clock.advance(300);
  world.put("e1", 10, { warmUpMilliseconds: 1800 });
  world.warmUps.updateServers();
  t.is(world.left("e1"), 1800);
});

test("without the version of its end, an evacuation is followed by a whole warm-up", async (t) => {
  const world = new World();
  world.put("e1", 1);
  world.warmUps.updateServers();
  world.evacuate("a");
  world.endEvacuation("a", Infinity);
  await world.clock.advance(1000);
  world.put("e1", 50);
  world.warmUps.updateServers();
  t.is(world.left("e1"), 2000);
  await world.clock.advance(2000);
  t.deepEqual(log(world), [
    ["serverWarmUpStarted", "evacuationEnded"],
    ["serverWarmUpEnded", undefined],
  ]);
});

test("servers of a failure domain that was lost and comes back are in warm-up", async (t) => {
  const world = new World();
  world.put("e1", 1);
  world.put("e2", 1);
  world.warmUps.updateServers();
  world.entries.clear();
  world.warmUps.updateServers();
  await world.clock.advance(5000);
  world.put("e1", 2);
  world.put("e2", 3);
  world.warmUps.updateServers();
  t.deepEqual([world.left("e1"), world.left("e2")], [3000, 3000]);
  await world.clock.advance(1200);
  world.put("e1", 4, { warmUpMilliseconds: 0 });
  world.warmUps.updateServers();
  t.deepEqual([world.left("e1"), world.left("e2")], [0, 1800]);
});

test("a warm-up ends by itself, and its start and end are logged", async (t) => {
  const world = new World();
  world.put("e1", 1, { warmUpMilliseconds: 2000 });
  world.warmUps.updateServers();
  await world.clock.advance(2500);
  t.deepEqual(world.log.events.map(({ name, fields }) => [name, fields]), [
    ["serverWarmUpStarted", {
      server: "e1",
      service: "s",
      cause: "entry",
      milliseconds: 2000,
    }],
    ["serverWarmUpEnded", { server: "e1", service: "s", sent: 0 }],
  ]);
});

// Guards against limits on servers whose service does not ask for a warm-up.
test("a service without warm-up has none, whatever entries, checks and evacuations say", (t) => {
  const world = new World(undefined);
  world.setWarmUp(undefined);
  world.warmUps.updateOperator();
  const entry = world.put("e1", 1, { warmUpMilliseconds: 2000 });
  world.warmUps.updateServers();
  world.put("e1", 2, { startedAt: 5, warmUpMilliseconds: undefined });
  world.warmUps.updateServers();
  world.warmUps.recordHealthCheck({ ...entry, startedAt: 5 }, 2000);
  world.evacuate("a");
  world.endEvacuation("a", 8);
  t.is(world.ends.size, 0);
  t.deepEqual(log(world), []);
});

function log(world: World): ReadonlyArray<unknown> {
  return world.log.events.map(({ name, fields }) => [name, fields["cause"]]);
}
