import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import type { SuspectDecision } from "../decisions/crash_suspicion.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { ServerFate } from "./crash_detector.ts";
import { CrashGuard, type GuardedCall } from "./crash_guard.ts";

const CUT: AttemptResult = { kind: "failed", reason: "cut", cause: "cut" };
const TIMED_OUT: AttemptResult = {
  kind: "failed",
  reason: "silent",
  cause: "silent",
};
const COMPLETE = {
  kind: "complete",
  status: 500,
  body: Buffer.alloc(0),
} as unknown as AttemptResult;

// Creates a guarded call, and the list of what it records.
function watch(
  decision: SuspectDecision,
  options: { readonly fate?: ServerFate; readonly isClaimed?: boolean } = {},
): { call: GuardedCall; recorded: string[] } {
  const recorded: string[] = [];
  const guard = new CrashGuard({
    log: new RecordingEventLog(),
    detector: { findFate: () => Promise.resolve(options.fate ?? "ended") },
    records: {
      size: 1,
      decide: () => decision,
      isSuspect: () => true,
      claimTrial: () =>
        Promise.resolve(options.isClaimed === false ? undefined : 7),
      returnTrial: (_content, triedAt) =>
        void recorded.push(`trial ${triedAt} returned`),
      recordCrash: () => void recorded.push("crash"),
      recordSuccess: () => void recorded.push("success"),
    },
  });
  const request = {
    identifier: "q",
    method: "GET",
    path: "/",
    host: "h",
    headers: {},
    body: Buffer.alloc(0),
  };
  return { call: guard.watch(request, "s"), recorded };
}

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly decision: SuspectDecision;
  readonly fate?: ServerFate;
  readonly result: AttemptResult;
  readonly recorded: ReadonlyArray<string>;
}> = [
  {
    title: "a server that ends under a call is recorded",
    decision: { kind: "send" },
    result: CUT,
    recorded: ["crash"],
  },
  {
    title: "a connection that is cut by a running server is not recorded",
    decision: { kind: "send" },
    fate: "running",
    result: CUT,
    recorded: [],
  },
  {
    title: "an attempt that times out is not recorded",
    decision: { kind: "send" },
    result: TIMED_OUT,
    recorded: [],
  },
  {
    title: "a complete answer clears the record, whatever its status",
    decision: { kind: "send" },
    result: COMPLETE,
    recorded: ["success"],
  },
  {
    title: "a trial under which the server ends is recorded",
    decision: { kind: "try" },
    result: CUT,
    recorded: ["crash"],
  },
  {
    title: "a trial whose connection is cut by a running server is returned",
    decision: { kind: "try" },
    fate: "running",
    result: CUT,
    recorded: ["trial 7 returned"],
  },
  {
    title: "a trial is not returned if the fate of the server is unknown",
    decision: { kind: "try" },
    fate: "unknown",
    result: CUT,
    recorded: [],
  },
  {
    title: "a trial that times out is not returned",
    decision: { kind: "try" },
    result: TIMED_OUT,
    recorded: [],
  },
];

for (const { title, decision, fate, result, recorded } of CASES) {
  test(title, async (t) => {
    const watched = watch(decision, fate === undefined ? {} : { fate });
    t.is((await watched.call.admit()).kind, "open");
    await watched.call.recordEnd(createServerEntry("a"), result);
    t.deepEqual(watched.recorded, recorded);
  });
}

test("a call on trial is not repeated, and one that was not sent returns the trial", async (t) => {
  const { call, recorded } = watch({ kind: "try" });
  await call.admit();
  t.false(call.mayRepeat);
  call.returnTrial();
  call.returnTrial();
  t.deepEqual(recorded, ["trial 7 returned"]);
});

test("a call is held while another one has the trial", async (t) => {
  const { call } = watch({ kind: "try" }, { isClaimed: false });
  t.is((await call.admit()).kind, "held");
});

test("a held call is told when to return", async (t) => {
  const { call } = watch({ kind: "reject", retryAfterMilliseconds: 700 });
  t.is(call.findHold(), 700);
  t.deepEqual(await call.admit(), {
    kind: "held",
    retryAfterMilliseconds: 700,
  });
});

test("a streamed answer that ends early under a server that ended is recorded", async (t) => {
  const { call, recorded } = watch({ kind: "send" });
  const body = call.watchBody(
    createServerEntry("a"),
    (async function* (): AsyncGenerator<Buffer> {
      yield Buffer.from("part");
      throw new Error("other side closed");
    })(),
  );
  await t.throwsAsync(async () => {
    for await (const chunk of body) t.is(chunk.toString(), "part");
  });
  await new Promise((resolve) => setTimeout(resolve, 5));
  t.deepEqual(recorded, ["crash"]);
});
