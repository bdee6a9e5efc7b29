import test from "ava";
import { createSampleLifetime } from "./sample_lifetime.ts";

const MARGIN_MILLISECONDS = 60;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

// Guards against the end of a sample at the lifetime that was in force when it began.
test("a lifetime that is lengthened while the sample runs ends later", async (t) => {
  const startedAt = performance.now();
  let milliseconds = 40;
  const lifetime = createSampleLifetime(
    new AbortController().signal,
    () => startedAt + milliseconds - performance.now(),
  );
  milliseconds = 200;
  await sleep(40 + MARGIN_MILLISECONDS);
  t.false(lifetime.signal.aborted);
  await sleep(100 + MARGIN_MILLISECONDS);
  t.true(lifetime.signal.aborted);
  lifetime.end();
});

test("a lifetime ends with the run of its step", (t) => {
  const stop = new AbortController();
  const lifetime = createSampleLifetime(stop.signal, () => 60_000);
  t.false(lifetime.signal.aborted);
  stop.abort();
  t.true(lifetime.signal.aborted);
  lifetime.end();
  t.true(createSampleLifetime(stop.signal, () => 60_000).signal.aborted);
});
