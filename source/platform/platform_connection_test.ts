import test from "ava";
import {
  type RunningPlatform,
  startPlatform,
} from "../../stand_ins/platform/start_platform.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { PlatformConnection } from "./platform_connection.ts";

const SILENCE_MILLISECONDS = 1000;
const LIST = { method: "GET", path: "/instances" } as const;

function connect(
  running: RunningPlatform,
  clock: ManualClock,
  log = new RecordingEventLog(),
): PlatformConnection {
  return new PlatformConnection({
    address: `http://${running.address}`,
    clock,
    silenceMilliseconds: SILENCE_MILLISECONDS,
    timeoutMilliseconds: 3 * SILENCE_MILLISECONDS,
    log,
  });
}

async function waitForHits(
  running: RunningPlatform,
  hits: number,
): Promise<void> {
  while (running.faults.hits < hits) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

test("one silent call gives up all connections that were open", async (t) => {
  const running = await startPlatform();
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const connection = connect(running, clock, log);
  await Promise.all(Array.from({ length: 8 }, () => connection.call(LIST)));
  running.faults.set({ fault: "freeze", existing: true });
  const silent = connection.call(LIST);
  await waitForHits(running, 1);
  await clock.advance(SILENCE_MILLISECONDS);
  t.like(await silent, { kind: "unknown" });
  t.deepEqual(log.events, [{
    name: "platformSilent",
    fields: { path: "/instances", reason: "silent connection" },
  }]);
  for (let call = 0; call < 20; call++) {
    t.is((await connection.call(LIST)).kind, "ok");
  }
  await running.close();
});

test("calls that wait for silent connections run when those are closed", async (t) => {
  const running = await startPlatform();
  const clock = new ManualClock();
  const connection = connect(running, clock);
  running.faults.set({ fault: "freeze" });
  const calls = Array.from({ length: 18 }, () => connection.call(LIST));
  await waitForHits(running, 16);
  running.faults.clear();
  // Ends the silent ones; the two that wait go on within the same bounds.
  await clock.advance(SILENCE_MILLISECONDS);
  const kinds = (await Promise.all(calls)).map((outcome) => outcome.kind);
  t.deepEqual(kinds.slice(0, 16), Array(16).fill("unknown"));
  t.deepEqual(kinds.slice(16), ["ok", "ok"]);
  await running.close();
});

test("calls beyond the bound are refused at once", async (t) => {
  const running = await startPlatform();
  const clock = new ManualClock();
  const connection = connect(running, clock);
  running.faults.set({ fault: "freeze" });
  const calls = Array.from({ length: 528 }, () => connection.call(LIST));
  t.deepEqual(await connection.call(LIST), {
    kind: "notRun",
    reason: "Too many calls are waiting",
  });
  await waitForHits(running, 16);
  await connection.close();
  const kinds = (await Promise.all(calls)).map((outcome) => outcome.kind);
  t.deepEqual(
    [
      kinds.filter((kind) => kind === "unknown").length,
      kinds.filter((kind) => kind === "notRun").length,
    ],
    [16, 512],
  );
  await running.close();
});
