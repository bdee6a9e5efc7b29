import { createSocket } from "node:dgram";
import { once } from "node:events";
import test from "ava";
import { StatsdMetrics } from "./statsd_metrics.ts";

test("metrics arrive with their tags, and the number of series is bounded", async (t) => {
  const receiver = createSocket("udp4");
  receiver.bind(0, "127.0.0.1");
  await once(receiver, "listening");
  const lines: string[] = [];
  receiver.on("message", (message) => {
    lines.push(...message.toString().split("\n").filter((line) => line !== ""));
  });
  const metrics = new StatsdMetrics({
    address: `127.0.0.1:${receiver.address().port}`,
    node: "node-1",
  });
  metrics.histogram("request.milliseconds", 12, { organisation: "school-3" });
  metrics.gauge("lease.held", 1, { lease: "usage" });
  for (let number = 0; number < 120; number += 1) {
    metrics.count("request.refused", { organisation: `school-${number}` });
  }
  const wanted = 122;
  for (let waits = 0; lines.length < wanted && waits < 500; waits += 1) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await metrics.close();
  receiver.close();
  const series = new Set(lines.map((line) => line.slice(line.indexOf("#"))));
  t.snapshot({
    first: lines.slice(0, 3),
    last: lines.at(-1),
    lines: lines.length,
    series: series.size,
  });
});
