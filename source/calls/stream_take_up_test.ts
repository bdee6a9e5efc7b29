import test from "ava";
import fc from "fast-check";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import type { Configuration } from "../installation/configuration.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { NO_METRICS } from "../observability/metrics.ts";
import type { TableChanges } from "../platform/durable_table.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { CallService, type CallServiceOptions } from "./call_service.ts";
import type { ForwardedCall } from "./forwarded_call.ts";
import { StreamOrigins } from "./stream_origins.ts";

const SEED = 7;
/** Longer than streams last, so that a node knows all versions that can have begun one. */
const FOLLOWED_MILLISECONDS = 61_000;

/** A node whose view of the servers is out of step, as it stands still or its connection is silent. */
class OutOfStepTable extends MemoryDurableTable {
  /** Whether calls that wait for changes of servers get no answer. */
  isSilent = false;

  override async follow(
    table: string,
    options: { readonly after: number; readonly waitMilliseconds: number },
  ): Promise<PlatformOutcome<TableChanges>> {
    const outcome = await super.follow(table, options);
    if (this.isSilent && options.waitMilliseconds > 0) {
      await new Promise(() => {});
    }
    return outcome;
  }
}

/** What happens while the node is out of step. */
interface Release {
  readonly formerEngines: number;
  readonly newEngines: number;
  /** Whether the new engines have left again. */
  readonly haveLeft: boolean;
  /** Whether the store has forgotten the changes in between. */
  readonly isHistoryLost: boolean;
  /** Whether the node that began the stream could record it. */
  readonly isRecorded: boolean;
  /** Whether the node is out of step, or has followed all the while. */
  readonly isOutOfStep: boolean;
}

const RELEASE = fc.record<Release>({
  formerEngines: fc.integer({ min: 1, max: 3 }),
  newEngines: fc.integer({ min: 1, max: 3 }),
  haveLeft: fc.boolean(),
  isHistoryLost: fc.boolean(),
  isRecorded: fc.boolean(),
  isOutOfStep: fc.boolean(),
});

function list(prefix: string, count: number): ReadonlyArray<string> {
  return Array.from({ length: count }, (_none, index) => `${prefix}${index}`);
}

async function change(
  table: MemoryDurableTable,
  rows: {
    readonly puts?: ReadonlyArray<string>;
    readonly deletes?: ReadonlyArray<string>;
  },
): Promise<void> {
  const toPlace = (key: string) => ({ table: "servers", partition: "", key });
  await table.commit({
    conditions: [],
    puts: (rows.puts ?? []).map((key) => ({
      ...toPlace(key),
      value: Buffer.alloc(0),
    })),
    deletes: (rows.deletes ?? []).map(toPlace),
  });
}

// Runs the background calls of the store, which take no time of the clock.
async function settle(): Promise<void> {
  for (let round = 0; round < 20; round += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function createConfiguration(): Configuration {
  const route = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "streaming",
    isResumable: true,
    isPublic: true,
    services: [{ service: "s", weight: 1 }],
    timeoutMilliseconds: 5000,
  };
  return {
    version: 1,
    routes: [route],
    organisationPriorities: new Map(),
  } as unknown as Configuration;
}

// Returns the software version at which the stream goes on; undefined if it is refused.
async function takeUp(release: Release): Promise<string | undefined> {
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const table = new OutOfStepTable();
  const stopping = new AbortController();
  const common = { clock, log, table, stopping: stopping.signal };
  const servers = new ServerView({
    ...common,
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, { softwareVersion: key.slice(0, 2) }),
    drainMilliseconds: 0,
  });
  await change(table, { puts: list("v1-", release.formerEngines) });
  void servers.run();
  await settle();
  await clock.advance(FOLLOWED_MILLISECONDS);
  const origins = new StreamOrigins({
    ...common,
    storeHealth: { isHanging: false },
    lease: { getHeldDuty: () => undefined },
  });
  table.isSilent = release.isOutOfStep;
  const newEngines = list("v2-", release.newEngines);
  await change(table, { puts: newEngines });
  if (!release.isOutOfStep) await settle();
  if (release.isRecorded) {
    const other = new StreamOrigins({
      ...common,
      storeHealth: { isHanging: false },
      lease: { getHeldDuty: () => undefined },
    });
    const request = { identifier: "first", organisation: undefined };
    other.record(request, {
      service: "s",
      softwareVersion: "v2",
      server: { identifier: "v2-0", startedAt: 0 },
    });
  }
  if (release.haveLeft) await change(table, { deletes: newEngines });
  if (release.isHistoryLost) table.discardHistory();
  if (!release.isOutOfStep) await settle();
  const version = await serve({ clock, servers, origins });
  stopping.abort();
  return version;
}

async function serve(
  { clock, servers, origins }: {
    readonly clock: ManualClock;
    readonly servers: ServerView;
    readonly origins: StreamOrigins;
  },
): Promise<string | undefined> {
  const forwarded: ForwardedCall[] = [];
  const options = {
    clock,
    servers,
    streamOrigins: origins,
    operator: {
      configuration: createConfiguration(),
      isKeyViewFresh: () => true,
    },
    forwarder: {
      forward: (call: ForwardedCall) => {
        forwarded.push(call);
        return Promise.resolve({ kind: "abandoned" });
      },
    },
    regionRules: { find: () => undefined },
    serverStarts: { mayHaveChanged: () => Promise.resolve(false) },
    drainAdmission: { findRefusal: () => undefined, endsAt: Infinity },
    metrics: NO_METRICS,
  } as unknown as CallServiceOptions;
  await new CallService(options).serve({
    identifier: "second",
    method: "POST",
    target: "/x",
    host: "h",
    key: undefined,
    headers: {},
    body: Buffer.alloc(0),
    budgetMilliseconds: 5000,
    afterEvent: 3,
    resumedRequest: "first",
    arrivedAt: clock.monotonic(),
    relayed: undefined,
    signal: new AbortController().signal,
  });
  return forwarded[0]?.origin?.softwareVersion;
}

// Guards against a stream that goes on at another version, as its node has not seen the engines of the
// version that began it.
test("a stream of a version that joined while the node was out of step goes on at this version or not at all", async (t) => {
  await fc.assert(
    fc.asyncProperty(RELEASE, async (release) => {
      const version = await takeUp(release);
      const isServing = release.isRecorded && !release.haveLeft;
      const isRight = version === undefined
        ? !isServing || release.isHistoryLost
        : version === "v2" && release.isRecorded;
      if (!isRight) throw new Error(`It went on at ${version}`);
    }),
    { seed: SEED, numRuns: 100 },
  );
  t.pass();
});
