import test from "ava";
import { ScrapedMetrics } from "./scraped_metrics.ts";

test("counters, gauges and histograms are written as text", async (t) => {
  const metrics = new ScrapedMetrics();
  metrics.count("calls", { outcome: "answered" });
  metrics.count("calls", { outcome: "answered" }, 2);
  metrics.gauge("steps_running", 4, {});
  metrics.histogram("call_milliseconds", 30, { outcome: "answered" });
  const text = await metrics.text();
  t.true(text.includes('snipepath_calls{outcome="answered"} 3'));
  t.true(text.includes("snipepath_steps_running 4"));
  t.true(
    text.includes(
      'snipepath_call_milliseconds_bucket{le="50",outcome="answered"} 1',
    ),
  );
});

test("the number of series is bounded", async (t) => {
  const metrics = new ScrapedMetrics();
  for (let organisation = 0; organisation < 500; organisation += 1) {
    metrics.count("calls", { organisation: `o${organisation}` });
  }
  const series = (await metrics.text()).split("\n").filter((row) =>
    row.startsWith("snipepath_calls{")
  );
  t.is(series.length, 101);
});
