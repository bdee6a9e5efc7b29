import test from "ava";
import {
  type RunningPlatform,
  startPlatform,
} from "../../stand_ins/platform/start_platform.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { PlatformConnection } from "./platform_connection.ts";
import { PlatformSilence } from "./platform_silence.ts";

const SILENCE_MILLISECONDS = 1000;
const LIST = { method: "GET", path: "/instances" } as const;

function createConnection(
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
  while (running.faults.faultedRequests < hits) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

test("a timeout of one call closes all connections that were open", async (t) => {
  const running = await startPlatform();
  const clock = new ManualClock();
  const log = new RecordingEventLog();
  const connection = createConnection(running, clock, log);
  await Promise.all(Array.from({ length: 8 }, () => connection.call(LIST)));
  running.faults.set({ fault: "freeze", existing: true });
  const hangingCall = connection.call(LIST);
  await waitForHits(running, 1);
  await clock.advance(SILENCE_MILLISECONDS);
  t.like(await hangingCall, { kind: "unknown" });
  t.deepEqual(log.events, [{
    name: "platformSilent",
    fields: { path: "/instances", reason: "no byte received" },
  }]);
  for (let call = 0; call < 20; call++) {
    t.is((await connection.call(LIST)).kind, "ok");
  }
  await running.close();
});

test("calls that wait for hanging connections run when those are closed", async (t) => {
  const running = await startPlatform();
  const clock = new ManualClock();
  const connection = createConnection(running, clock);
  running.faults.set({ fault: "freeze" });
  const calls = Array.from({ length: 18 }, () => connection.call(LIST));
  await waitForHits(running, 16);
  running.faults.clear();
  // Ends the calls that hang; the two that wait then run within the same time limit.
  await clock.advance(SILENCE_MILLISECONDS);
  const kinds = (await Promise.all(calls)).map((outcome) => outcome.kind);
  t.deepEqual(kinds.slice(0, 16), Array(16).fill("unknown"));
  t.deepEqual(kinds.slice(16), ["ok", "ok"]);
  await running.close();
});

test("calls beyond the limit are refused immediately", async (t) => {
  const running = await startPlatform();
  const clock = new ManualClock();
  const connection = createConnection(running, clock);
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

test("after an outage, a lost call ends as soon as a later call of another connection is answered", async (t) => {
  const running = await startPlatform();
  const clock = new ManualClock();
  const silence = new PlatformSilence(clock);
  const connections = [0, 1].map(() =>
    new PlatformConnection({
      address: `http://${running.address}`,
      clock,
      silenceMilliseconds: SILENCE_MILLISECONDS,
      timeoutMilliseconds: 3 * SILENCE_MILLISECONDS,
      silence,
    })
  );
  const [following, other] = connections;
  if (following === undefined || other === undefined) return t.fail();
  running.faults.set({ fault: "freeze" });
  const lost = other.call(LIST);
  await waitForHits(running, 1);
  await clock.advance(SILENCE_MILLISECONDS / 2);
  const hanging = following.call({ ...LIST, longPollMilliseconds: 1000 });
  await waitForHits(running, 2);
  await clock.advance(SILENCE_MILLISECONDS / 2);
  t.is((await lost).kind, "unknown");
  running.faults.clear();
  t.is((await other.call(LIST)).kind, "ok");
  t.deepEqual(await hanging, {
    kind: "unknown",
    reason: "Call aborted: a later call was answered",
  });
  t.is((await following.call(LIST)).kind, "ok");
  await running.close();
});
