import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import type { EngineReport } from "../backends/server_client.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import { ServerStarts } from "./server_starts.ts";

const ENTRY = createServerEntry("e1", { startedAt: 100 });

interface Fixture {
  readonly log: RecordingEventLog;
  readonly starts: ServerStarts;
  /** Identifiers of the servers whose reports were read, in order. */
  readonly asked: ReadonlyArray<string>;
  /** Identifiers of the servers whose limits counted a request, in order. */
  readonly counted: ReadonlyArray<string>;
}

function createFixture(
  { reportedAt, entry, isCutOff = false, isEvacuated = false, departed }: {
    /** Start that the server reports; undefined if its report can't be read. */
    readonly reportedAt?: number;
    readonly entry?: BackendServerEntry;
    readonly isCutOff?: boolean;
    readonly isEvacuated?: boolean;
    /** Last entry of the server, which has left. */
    readonly departed?: BackendServerEntry | undefined;
  },
): Fixture {
  const log = new RecordingEventLog();
  const asked: string[] = [];
  const counted: string[] = [];
  const report: EngineReport | undefined = reportedAt === undefined
    ? undefined
    : {
      startedAt: reportedAt,
      weightVersions: new Map(),
      acceptedOrders: 0,
      isBusy: false,
      waiting: 0,
      running: 0,
    };
  const starts = new ServerStarts({
    log,
    client: {
      readReport: ({ identifier }) => {
        asked.push(identifier);
        return Promise.resolve(report);
      },
    },
    limits: { recordRequest: (identifier) => void counted.push(identifier) },
    paths: { isCutOff },
    servers: {
      servers: new Map(entry === undefined ? [] : [[entry.identifier, entry]]),
      isEvacuated: () => isEvacuated,
      getDeparted: () => departed,
    },
  });
  return { log, starts, asked, counted };
}

test("a server that reports the start of its entry is not replaced", async (t) => {
  const { starts, log, counted } = createFixture({ reportedAt: 100 });
  t.false(await starts.isReplaced(ENTRY));
  t.deepEqual(log.events, []);
  t.deepEqual(counted, ["e1"]);
});

test("a server that reports another start is replaced", async (t) => {
  const { starts, log } = createFixture({ reportedAt: 200 });
  t.true(await starts.isReplaced(ENTRY));
  t.deepEqual(log.events, [{
    name: "serverStartReplaced",
    fields: { server: "e1", startedAt: 100, reported: 200 },
  }]);
});

// Guards against a stream that goes on at another software version because a busy server did not
// report its start in time.
test("a server whose report can't be read may have been replaced", async (t) => {
  const { starts, log } = createFixture({});
  t.true(await starts.isReplaced(ENTRY));
  t.deepEqual(log.events.map(({ name }) => name), ["serverStartUnknown"]);
});

test("a server whose entry names no start is asked for none", async (t) => {
  const { starts, asked } = createFixture({ reportedAt: 200 });
  t.false(await starts.isReplaced({ ...ENTRY, startedAt: 0 }));
  t.deepEqual(asked, []);
});

test("a node that is cut off asks no server", async (t) => {
  const { starts, asked } = createFixture({ reportedAt: 200, isCutOff: true });
  t.false(await starts.isReplaced(ENTRY));
  t.deepEqual(asked, []);
});

test("an evacuated server is not asked for its start", async (t) => {
  const { starts, asked, log } = createFixture({
    reportedAt: 200,
    entry: ENTRY,
    isEvacuated: true,
  });
  t.false(await starts.isReplaced(ENTRY));
  t.false(await starts.mayHaveChanged(ENTRY, ENTRY.softwareVersion));
  t.deepEqual(asked, []);
  t.deepEqual(log.events, []);
});

test("checks of one server at the same time read its report once", async (t) => {
  const { starts, asked } = createFixture({ reportedAt: 100 });
  await Promise.all(Array.from({ length: 16 }, () => starts.isReplaced(ENTRY)));
  t.is(asked.length, 1);
});

// Guards against a report that was asked for before the server started again.
test("a check does not use a report that was asked for before it began", async (t) => {
  const { starts, asked } = createFixture({ reportedAt: 100 });
  const first = starts.isReplaced(ENTRY);
  await Promise.resolve();
  await Promise.resolve();
  t.is(asked.length, 1);
  const later = [starts.isReplaced(ENTRY), starts.isReplaced(ENTRY)];
  await Promise.all([first, ...later]);
  t.is(asked.length, 2);
  await starts.isReplaced(ENTRY);
  t.is(asked.length, 3);
});

const CHANGES: ReadonlyArray<{
  readonly title: string;
  readonly entry?: BackendServerEntry;
  readonly departed?: BackendServerEntry;
  readonly reportedAt?: number;
  readonly expected: boolean;
}> = [
  {
    title: "of a server that left while it was followed did not change",
    departed: ENTRY,
    expected: false,
  },
  {
    title: "of a server that left and whose last entry is unknown may differ",
    expected: true,
  },
  {
    title: "of a server that left after another start may differ",
    departed: { ...ENTRY, startedAt: 200, softwareVersion: "v2" },
    expected: true,
  },
  {
    title: "of a server that reports the start of its entry did not change",
    entry: ENTRY,
    reportedAt: 100,
    expected: false,
  },
  {
    title: "of a server that reports a later start may have changed",
    entry: ENTRY,
    reportedAt: 200,
    expected: true,
  },
  {
    title: "of a server whose new entry names the same version did not change",
    entry: { ...ENTRY, startedAt: 200 },
    expected: false,
  },
  {
    title: "of a server whose new entry names another version may have changed",
    entry: { ...ENTRY, startedAt: 200, softwareVersion: "v2" },
    expected: true,
  },
];

for (const { title, expected, ...more } of CHANGES) {
  test(`the software ${title}`, async (t) => {
    const { starts } = createFixture(more);
    const begun = { identifier: "e1", startedAt: 100 };
    t.is(await starts.mayHaveChanged(begun, "v1"), expected);
  });
}
