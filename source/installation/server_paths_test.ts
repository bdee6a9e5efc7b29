import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import type { ServerProcessState } from "../backends/server_client.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { ServerCheck } from "./server_check.ts";
import { ServerPaths } from "./server_paths.ts";

// Creates paths to three servers whose checks return the states of each round.
function createPaths(
  rounds: ReadonlyArray<ReadonlyArray<ServerProcessState>>,
): { paths: ServerPaths; countChecks: () => number } {
  let checks = 0;
  const paths = new ServerPaths({
    clock: new SystemClock(),
    log: new RecordingEventLog(),
    random: createRandomSource(1),
    check: {
      run: () => {
        const round = rounds[Math.floor(checks / 3)] ?? [];
        const state = round[checks % 3] ?? "running";
        checks += 1;
        return Promise.resolve(state);
      },
    },
    listServers: () => ["a", "b", "c"].map((name) => createServerEntry(name)),
    stopping: new AbortController().signal,
  });
  return { paths, countChecks: () => checks };
}

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly rounds: ReadonlyArray<ReadonlyArray<ServerProcessState>>;
  readonly isCutOff: boolean;
}> = [
  {
    title: "that all servers refuse is cut off",
    rounds: [["refused", "refused", "refused"]],
    isCutOff: true,
  },
  {
    title: "that twice reaches no server in time is cut off",
    rounds: [
      ["unreachable", "refused", "unreachable"],
      ["unreachable", "refused", "unreachable"],
    ],
    isCutOff: true,
  },
  {
    title: "that was stopped while it checked is not cut off",
    rounds: [["unreachable", "unreachable", "unreachable"]],
    isCutOff: false,
  },
  {
    title: "that reaches a server which does not answer is not cut off",
    rounds: [["refused", "silent", "refused"]],
    isCutOff: false,
  },
  {
    title: "at whose address another server runs is not cut off",
    rounds: [["refused", "replaced", "refused"]],
    isCutOff: false,
  },
];

for (const { title, rounds, isCutOff } of CASES) {
  test(`a node ${title}`, async (t) => {
    const { paths } = createPaths(rounds);
    t.is(await paths.check(), isCutOff);
    t.is(paths.isCutOff, isCutOff);
  });
}

test("a check is not repeated at once, and concurrent ones are one", async (t) => {
  const { paths, countChecks } = createPaths([]);
  await Promise.all([paths.check(), paths.check()]);
  await paths.check();
  t.is(countChecks(), 3);
});

test("failures that do not concern the path cause no check", async (t) => {
  const { paths, countChecks } = createPaths([]);
  paths.recordFailure("withheld");
  paths.recordFailure("untrusted");
  await Promise.resolve();
  t.is(countChecks(), 0);
  paths.recordFailure("silent");
  t.is(countChecks(), 3);
});

test("servers that are evacuated during a check don't make the node count as cut off", async (t) => {
  const evacuated = new Set<string>();
  const paths = new ServerPaths({
    clock: new SystemClock(),
    log: new RecordingEventLog(),
    random: createRandomSource(1),
    check: new ServerCheck({
      client: {
        checkProcess: (server, { mayStart }) => {
          evacuated.add(server.failureDomain);
          return Promise.resolve(mayStart?.() ? "running" : "refused");
        },
      },
      findHealthPath: () => "/health",
      isEvacuated: ({ failureDomain }) => evacuated.has(failureDomain),
    }),
    listServers: () =>
      ["a", "b", "c"].map((name) => createServerEntry(name)).filter((
        { failureDomain },
      ) => !evacuated.has(failureDomain)),
    stopping: new AbortController().signal,
  });
  t.false(await paths.check());
  t.false(paths.isCutOff);
});
