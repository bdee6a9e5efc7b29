import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { RetryBudgetOptions } from "../../source/decisions/retry_budget.ts";
import type { RoutingPolicyName } from "../../source/routing/routing_policy.ts";
import type { EngineOptions } from "../../stand_ins/engine/engine_options.ts";
import type {
  ChildMessage,
  DispatcherCommand,
  DispatcherResult,
  EngineAddress,
  EngineCommand,
  LoadOptions,
} from "./messages.ts";

const FAILURE_DOMAINS: ReadonlyArray<string> = [
  "cluj-a",
  "iasi-b",
  "suceava-c",
];
const ENGINES_PER_DOMAIN = 2;
const NODES_PER_DOMAIN = 3;
const MONITORS_PER_ENGINE = 3;

/** Command that an engine process receives during a trial. */
export interface TrialEvent {
  readonly atMilliseconds: number;
  /** Index of the failure domain; the command names the engine in it. */
  readonly domain: number;
  readonly command: EngineCommand;
}

/** Options of a trial of one policy. */
export interface TrialOptions {
  readonly policy: RoutingPolicyName;
  readonly seed: number;
  readonly engine: Partial<EngineOptions>;
  readonly load: LoadOptions;
  readonly events: ReadonlyArray<TrialEvent>;
  readonly retryBudget: RetryBudgetOptions;
  readonly readsCacheEvents: boolean;
}

/**
 * Runs one policy with newly started processes: six engines and nine dispatchers in three failure
 * domains.
 * @param options - Policy, load and events.
 * @example
 * ```ts
 * const result = await runTrial(options);
 * ```
 */
export async function runTrial(
  options: TrialOptions,
): Promise<DispatcherResult> {
  const engineProcesses = FAILURE_DOMAINS.map(() =>
    startProcess("engine_process")
  );
  const nodeProcesses = FAILURE_DOMAINS.map(() =>
    startProcess("dispatcher_process")
  );
  const children = [...engineProcesses, ...nodeProcesses];
  await Promise.all(children.map((child) => waitForMessage(child, "ready")));
  const engines = await startEngines(engineProcesses, options);
  relayRunning(nodeProcesses);
  const results = nodeProcesses.map((child) => waitForMessage(child, "result"));
  nodeProcesses.forEach((child, index) =>
    send(child, toRunCommand(index, engines, options))
  );
  const timers = options.events.map(({ atMilliseconds, domain, command }) =>
    setTimeout(() => send(engineProcesses[domain]!, command), atMilliseconds)
  );
  const measured = await Promise.all(results);
  for (const timer of timers) clearTimeout(timer);
  for (const child of children) child.disconnect();
  return mergeResults(measured.map(({ result }) => result));
}

async function startEngines(
  children: ReadonlyArray<ChildProcess>,
  options: TrialOptions,
): Promise<ReadonlyArray<EngineAddress>> {
  const started = children.map(async (child, index) => {
    const failureDomain = FAILURE_DOMAINS[index]!;
    const each = { failureDomain, options: options.engine };
    const answer = waitForMessage(child, "started");
    send(child, {
      kind: "start",
      engines: Array.from({ length: ENGINES_PER_DOMAIN }, () => each),
    });
    return (await answer).engines;
  });
  return (await Promise.all(started)).flat();
}

function toRunCommand(
  index: number,
  engines: ReadonlyArray<EngineAddress>,
  options: TrialOptions,
): DispatcherCommand {
  const failureDomain = FAILURE_DOMAINS[index]!;
  const share = options.load.requestsPerSecond / FAILURE_DOMAINS.length;
  return {
    kind: "run",
    engines,
    nodes: Array.from({ length: NODES_PER_DOMAIN }, (_, node) => ({
      name: `${failureDomain}-${node}`,
      failureDomain,
    })),
    load: { ...options.load, requestsPerSecond: share },
    policy: options.policy,
    retryBudget: options.retryBudget,
    seed: options.seed + index,
    readsCacheEvents: options.readsCacheEvents,
  };
}

// Only the few nodes that monitor a server publish how many requests they run on it.
function relayRunning(children: ReadonlyArray<ChildProcess>): void {
  const running: Record<string, Record<string, number>> = {};
  for (const child of children) {
    child.on("message", (message: ChildMessage) => {
      if (message.kind !== "running") return;
      Object.entries(message.running).forEach(([address, nodes], engine) => {
        const known = running[address] ??= {};
        for (const [name, count] of Object.entries(nodes)) {
          if (isMonitor(name, engine)) known[name] = count;
        }
      });
      for (const other of children) send(other, { kind: "told", running });
    });
  }
}

function isMonitor(node: string, engine: number): boolean {
  const [domain, index] = [node.slice(0, -2), Number(node.slice(-1))];
  const position = FAILURE_DOMAINS.indexOf(domain) * NODES_PER_DOMAIN + index;
  const nodes = FAILURE_DOMAINS.length * NODES_PER_DOMAIN;
  return (position + 2 * engine) % nodes < MONITORS_PER_ENGINE;
}

function startProcess(name: string): ChildProcess {
  return fork(fileURLToPath(new URL(`./${name}.js`, import.meta.url)));
}

function send(
  child: ChildProcess,
  command: DispatcherCommand | EngineCommand,
): void {
  if (child.connected) child.send(command);
}

function waitForMessage<Kind extends ChildMessage["kind"]>(
  child: ChildProcess,
  kind: Kind,
): Promise<Extract<ChildMessage, { readonly kind: Kind }>> {
  return new Promise((resolve, reject) => {
    child.on("message", (message: ChildMessage) => {
      if (message.kind !== kind) return;
      resolve(message as Extract<ChildMessage, { readonly kind: Kind }>);
    });
    child.once(
      "exit",
      (status) =>
        reject(new Error(`Child process ended with status ${status}`)),
    );
  });
}

function mergeResults(
  results: ReadonlyArray<DispatcherResult>,
): DispatcherResult {
  const sum = (pick: (result: DispatcherResult) => number): number =>
    results.reduce((total, result) => total + pick(result), 0);
  const refusals: Record<string, number> = {};
  const seconds: { arrived: number; inTime: number }[] = [];
  for (const result of results) {
    for (const [name, count] of Object.entries(result.refusals)) {
      refusals[name] = (refusals[name] ?? 0) + count;
    }
    result.seconds.forEach(({ arrived, inTime }, second) => {
      const counts = seconds[second] ??= { arrived: 0, inTime: 0 };
      counts.arrived += arrived;
      counts.inTime += inTime;
    });
  }
  return {
    latencies: results.flatMap(({ latencies }) => latencies),
    arrived: sum(({ arrived }) => arrived),
    finished: sum(({ finished }) => finished),
    attempts: sum(({ attempts }) => attempts),
    inTime: sum(({ inTime }) => inTime),
    cachedTokens: sum(({ cachedTokens }) => cachedTokens),
    promptTokens: sum(({ promptTokens }) => promptTokens),
    refusals,
    seconds,
  };
}
