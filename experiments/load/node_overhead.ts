import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { formatTable } from "../../source/command/command_output.ts";
import { Deployment } from "../deployment/deployment.ts";
import { LAYOUTS } from "../deployment/layout.ts";

const MICROSECONDS_PER_MILLISECOND = 1000;
const WARM_UP_SECONDS = 2;
const PACED_CONNECTIONS = 4;
const SATURATING_CONNECTIONS = 64;
const STREAM_TOKENS = 64;
const CLOCK_TICKS_PER_SECOND = 100;

interface LoopResult {
  /** Latencies in microseconds. */
  readonly latencies: Histogram;
  readonly callsPerSecond: number;
}

interface LoopOptions {
  readonly connections: number;
  readonly seconds: number;
  /** Pause of a connection between two calls, in milliseconds. */
  readonly pauseMilliseconds: number;
  readonly send: (agent: Agent) => Promise<boolean>;
}

/**
 * Measures one node: the latency that it adds to plain calls, its throughput of calls and streamed
 * tokens, and its memory.
 * @param seconds - Duration of each measurement, in seconds.
 * @returns The measurements as text.
 */
export async function measureOverhead(seconds: number): Promise<string> {
  const layout = LAYOUTS.atbr;
  const deployment = await Deployment.start({
    layout,
    nodes: 1,
    engineFlags: ["--tokens-per-second=2000", "--batch-slots=64"],
  });
  try {
    await deployment.runCommand([
      "apply",
      writeWithoutLimits(layout.declaration),
    ]);
    const keyResult = await deployment.runCommand(["key", "give", "atbr-iasi"]);
    await sleep(2000);
    return await measure(deployment, keyResult.output.trim(), seconds);
  } finally {
    await deployment.stop();
  }
}

function writeWithoutLimits(declaration: string): string {
  const path = join(
    mkdtempSync(join(tmpdir(), "snipepath-")),
    "declaration.yaml",
  );
  const text = readFileSync(declaration, "utf8");
  writeFileSync(path, text.replaceAll(/^ +requestsPerSecond:.*\n/gm, ""));
  return path;
}

async function measure(
  deployment: Deployment,
  key: string,
  seconds: number,
): Promise<string> {
  const node = deployment.nodes[0];
  const service = deployment.servers.find((each) =>
    each.service === "comenzi-app"
  );
  const engine = deployment.servers.find((each) =>
    each.service === "dot-models"
  );
  if (node === undefined || service === undefined || engine === undefined) {
    throw new Error("The deployment lacks a node, a plain server or an engine");
  }
  const pid = node.process.child.pid ?? 0;
  const idleMegabytes = readResidentMegabytes(pid);
  const paced = {
    connections: PACED_CONNECTIONS,
    seconds,
    pauseMilliseconds: 5,
  };
  const path = "/orders/status/1";
  const direct = await runLoop({
    ...paced,
    send: (agent) => get(agent, `http://${service.address}${path}`),
  });
  const through = await runLoop({
    ...paced,
    send: (agent) => get(agent, `http://${node.callerAddress}${path}`),
  });
  const processorSecondsBefore = readProcessorSeconds(pid);
  const saturated = await runLoop({
    connections: SATURATING_CONNECTIONS,
    seconds,
    pauseMilliseconds: 0,
    send: (agent) => get(agent, `http://${node.callerAddress}${path}`),
  });
  const processorSeconds = readProcessorSeconds(pid) - processorSecondsBefore;
  const streams = await runLoop({
    connections: SATURATING_CONNECTIONS,
    seconds,
    pauseMilliseconds: 0,
    send: (agent) => stream(agent, `http://${node.callerAddress}`, key),
  });
  return [
    formatTable(["plain calls, paced", "p50 ms", "p99 ms"], [
      formatLatencies("directly", direct.latencies),
      formatLatencies("through the node", through.latencies),
    ]),
    `calls a second, ${SATURATING_CONNECTIONS} connections: ${
      Math.round(saturated.callsPerSecond)
    } with ${
      (processorSeconds / (seconds + WARM_UP_SECONDS)).toFixed(2)
    } cores`,
    `streamed tokens a second, ${SATURATING_CONNECTIONS} streams: ${
      Math.round(streams.callsPerSecond * STREAM_TOKENS)
    }`,
    `resident memory: ${idleMegabytes} MB idle, ${
      readResidentMegabytes(pid)
    } MB after the load`,
  ].join("\n");
}

async function runLoop(options: LoopOptions): Promise<LoopResult> {
  const agent = new Agent({ connections: options.connections });
  const latencies = build();
  const startedAt = performance.now();
  const measuredFrom = startedAt + WARM_UP_SECONDS * 1000;
  const endsAt = measuredFrom + options.seconds * 1000;
  let failures = 0;
  async function runConnection(): Promise<void> {
    while (performance.now() < endsAt) {
      const sentAt = performance.now();
      const isAnswered = await options.send(agent);
      if (!isAnswered) failures += 1;
      else if (sentAt >= measuredFrom) {
        latencies.recordValue(
          Math.round(
            (performance.now() - sentAt) * MICROSECONDS_PER_MILLISECOND,
          ),
        );
      }
      if (options.pauseMilliseconds > 0) await sleep(options.pauseMilliseconds);
    }
  }
  await Promise.all(
    Array.from({ length: options.connections }, () => runConnection()),
  );
  await agent.close();
  if (failures > 0) console.error(`${failures} calls were not answered`);
  return { latencies, callsPerSecond: latencies.totalCount / options.seconds };
}

async function get(agent: Agent, url: string): Promise<boolean> {
  const response = await request(url, { dispatcher: agent });
  await response.body.arrayBuffer();
  return response.statusCode === 200;
}

async function stream(
  agent: Agent,
  base: string,
  key: string,
): Promise<boolean> {
  const answer = await request(`${base}/v1/completions`, {
    dispatcher: agent,
    method: "POST",
    headers: {
      authorization: `Bearer ${key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "dot-models",
      class: "interactive",
      prompt: "Contract this line",
      ["max_tokens"]: STREAM_TOKENS,
      stream: true,
    }),
  });
  const text = await answer.body.text();
  return answer.statusCode === 200 && text.trimEnd().endsWith("[DONE]");
}

function formatLatencies(
  name: string,
  latencies: Histogram,
): ReadonlyArray<string> {
  return [
    name,
    (latencies.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND).toFixed(
      2,
    ),
    (latencies.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND).toFixed(
      2,
    ),
  ];
}

function readResidentMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return Math.round(kilobytes / 1024);
}

function readProcessorSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]
    ?.split(" ") ?? [];
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks / CLOCK_TICKS_PER_SECOND;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
