import { parse, View } from "vega";
import type { RunResult } from "./run_scenario.ts";

const PLOT_WIDTH_PIXELS = 720;
const PLOT_HEIGHT_PIXELS = 240;

/**
 * Creates an HTML page with a plot of every request's latency over time, and with the measurements
 * as text.
 * @param title - Scenario and policies.
 * @param parts - Result of the run, and its measurements as text.
 * @returns A self-contained HTML page.
 */
export async function createReportPage(
  title: string,
  parts: { readonly result: RunResult; readonly text: string },
): Promise<string> {
  const plot = await drawLatencies(parts.result);
  return [
    "<!doctype html>",
    '<html lang="en"><head><meta charset="utf-8">',
    `<title>${escapeHtml(title)}</title></head><body>`,
    `<h1>${escapeHtml(title)}</h1>`,
    plot,
    `<pre>${escapeHtml(parts.text)}</pre>`,
    "</body></html>",
    "",
  ].join("\n");
}

function drawLatencies(result: RunResult): Promise<string> {
  const values = result.records.map((record) => ({
    second: record.scheduledMilliseconds / 1000,
    latency: Math.max(1, record.latencyMilliseconds),
    organisation: record.stream.organisation,
    shape: record.outcome === "answered" ? "circle" : "cross",
  }));
  const view = new View(
    parse({
      width: PLOT_WIDTH_PIXELS,
      height: PLOT_HEIGHT_PIXELS,
      padding: 5,
      background: "white",
      data: [{ name: "requests", values }],
      scales: [
        {
          name: "x",
          type: "linear",
          range: "width",
          domain: { data: "requests", field: "second" },
        },
        {
          name: "y",
          type: "log",
          range: "height",
          domain: { data: "requests", field: "latency" },
        },
        {
          name: "color",
          type: "ordinal",
          range: "category",
          domain: { data: "requests", field: "organisation", sort: true },
        },
      ],
      axes: [
        { orient: "bottom", scale: "x", title: "seconds from the start" },
        { orient: "left", scale: "y", title: "milliseconds", tickCount: 5 },
      ],
      legends: [{ fill: "color", title: "organisation" }],
      marks: [{
        type: "symbol",
        from: { data: "requests" },
        encode: {
          enter: {
            x: { scale: "x", field: "second" },
            y: { scale: "y", field: "latency" },
            fill: { scale: "color", field: "organisation" },
            shape: { field: "shape" },
            size: { value: 16 },
            opacity: { value: 0.6 },
          },
        },
      }],
    }),
    { renderer: "none" },
  );
  return view.toSVG();
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
