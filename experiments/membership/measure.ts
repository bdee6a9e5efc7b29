import { type ChildProcess, fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { command, flag, number, option, run } from "cmd-ts";
import { quantise } from "../../source/membership/load_quantisation.ts";
import { startPlatform } from "../../stand_ins/platform/start_platform.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import {
  type DriverMessage,
  type NodeMessage,
  type NodeProcessOptions,
  type ProcessCosts,
  sharedMilliseconds,
} from "./node_messages.ts";
import { PropagationRecorder } from "./propagation_recorder.ts";

const CONTROL_NODE_PATH = fileURLToPath(
  new URL("./control_node.js", import.meta.url),
);
const ENGINES_PER_NODE = 2;
const FAILURE_DOMAINS = 5;
const START_LIMIT_MILLISECONDS = 60_000;
const SETTLE_MILLISECONDS = 8000;
const ROUND_MILLISECONDS = 1500;
const ROUNDS_PER_CONFIGURATION = 8;
const FINAL_WAIT_MILLISECONDS = 6000;
const REPLACEMENT_DELAY_MILLISECONDS = 3000;
/** Number of engines whose load this process sets; the loads of the others vary by themselves. */
const DRIVEN_ENGINES = 4;
/** Number of starting processes from which on the next start is delayed. */
const STARTING_PROCESSES_BEFORE_DELAY = 10;
const BYTES_PER_MEBIBYTE = 1024 * 1024;

/** Options of a measurement. */
interface MeasureOptions {
  readonly nodes: number;
  readonly seed: number;
  /** Duration of the rounds. */
  readonly seconds: number;
  readonly nodesPerProcess: number;
  /** Setting `peerStreams` of each node. */
  readonly streams: number;
  /** Number of organisations whose received service each node publishes about once a second. */
  readonly organisations: number;
  /** Percentage of the processes that are killed and replaced. */
  readonly deaths: number;
  readonly configurationBytes: number;
  /** Whether the nodes run no control tasks and only start their peer servers, as a baseline. */
  readonly withoutControl: boolean;
  /** Size limit of a semi-space of the young generation; 0 leaves the default of Node.js. */
  readonly semiSpaceMebibytes: number;
}

interface NodeProcess {
  readonly child: ChildProcess;
  readonly names: ReadonlyArray<string>;
  readonly readyNodes: Set<string>;
  readonly costs: ProcessCosts[];
}

const clock = new SystemClock();

class Measurement {
  readonly #options: MeasureOptions;
  readonly #random;
  /** A published change is identified by its subject, such as `withdrawal key-3`. */
  readonly #propagation = new PropagationRecorder();
  readonly #processes = new Set<NodeProcess>();
  readonly #runningRequestsByAddress = new Map<string, number>();
  #startedNodes = 0;
  #round = 0;

  constructor(options: MeasureOptions) {
    this.#options = options;
    this.#random = createRandomSource(options.seed);
  }

  async run(): Promise<void> {
    const platform = await startPlatform({ listLagMilliseconds: 1000 });
    const address = `http://${platform.address}`;
    this.#registerEngines((instance) =>
      platform.state.instances.register(instance, true)
    );
    try {
      await this.#startAll(address);
      await clock.sleep(SETTLE_MILLISECONDS);
      await this.#collectCosts();
      await this.#runRounds(address);
      await this.#collectCosts();
      await clock.sleep(FINAL_WAIT_MILLISECONDS);
      this.#print();
    } finally {
      for (const { child } of this.#processes) child.kill("SIGKILL");
      await platform.close();
    }
  }

  #registerEngines(
    register: (
      instance: Parameters<
        Awaited<ReturnType<typeof startPlatform>>["state"]["instances"][
          "register"
        ]
      >[0],
    ) => void,
  ): void {
    const count = this.#options.nodes * ENGINES_PER_NODE;
    for (let index = 0; index < count; index += 1) {
      const address = index < DRIVEN_ENGINES
        ? `probe-${index}:8000`
        : `10.1.${Math.floor(index / 250)}.${index % 250}:8000`;
      register({
        kind: "backendServer",
        name: address,
        address,
        failureDomain: `domain-${index % FAILURE_DOMAINS}`,
        service: index % 2 === 0 ? "dot-models" : "assist-lm",
        tier: index % 3 === 0 ? "steady" : "cheap",
        leaving: false,
        microsPerHour: 900_000,
      });
    }
    for (let index = 0; index < DRIVEN_ENGINES; index += 1) {
      this.#runningRequestsByAddress.set(`probe-${index}:8000`, 0);
    }
  }

  async #startAll(platformAddress: string): Promise<void> {
    const { nodes, nodesPerProcess } = this.#options;
    while (this.#startedNodes < nodes) {
      const count = Math.min(nodesPerProcess, nodes - this.#startedNodes);
      this.#startProcess(platformAddress, count);
      const starting = [...this.#processes].filter(({ names, readyNodes }) =>
        readyNodes.size < names.length
      );
      if (starting.length >= STARTING_PROCESSES_BEFORE_DELAY) {
        await clock.sleep(500);
      }
    }
    const deadline = clock.monotonic() + START_LIMIT_MILLISECONDS;
    while (!this.#isReady() && clock.monotonic() < deadline) {
      await clock.sleep(100);
    }
    if (!this.#isReady()) throw new Error("Not all nodes became ready in time");
  }

  #startProcess(platformAddress: string, count: number): void {
    const names = Array.from(
      { length: count },
      (_none, index) => `node-${this.#startedNodes + index}`,
    );
    const options: NodeProcessOptions = {
      platformAddress,
      nodes: names.map((name, index) => ({
        name,
        failureDomain: `domain-${
          (this.#startedNodes + index) % FAILURE_DOMAINS
        }`,
      })),
      control: !this.#options.withoutControl,
      streams: this.#options.streams,
      organisations: this.#options.organisations,
    };
    this.#startedNodes += count;
    const child = fork(CONTROL_NODE_PATH, [JSON.stringify(options)], {
      execArgv: this.#options.semiSpaceMebibytes === 0
        ? []
        : [`--max-semi-space-size=${this.#options.semiSpaceMebibytes}`],
    });
    const started: NodeProcess = {
      child,
      names,
      readyNodes: new Set(),
      costs: [],
    };
    this.#processes.add(started);
    child.on(
      "message",
      (message: NodeMessage) => this.#handleMessage(started, message),
    );
    for (const [address, running] of this.#runningRequestsByAddress) {
      child.send({ kind: "load", address, running });
    }
  }

  #isReady(): boolean {
    return [...this.#processes].every(({ names, readyNodes }) =>
      readyNodes.size === names.length
    );
  }

  #handleMessage(from: NodeProcess, message: NodeMessage): void {
    if (message.kind === "ready") from.readyNodes.add(message.node);
    else if (message.kind === "report") from.costs.push(message.costs);
    else if (message.kind === "started") {
      const { subject, atMilliseconds } = message;
      this.#propagation.addSubject(subject, atMilliseconds, this.#readyNodes());
      this.#propagation.recordReceipt(subject, message.node, atMilliseconds);
    } else {
      const { subject, node, atMilliseconds } = message;
      this.#propagation.recordReceipt(subject, node, atMilliseconds);
    }
  }

  #readyNodes(): ReadonlyArray<string> {
    return [...this.#processes].flatMap(({ readyNodes }) => [...readyNodes]);
  }

  async #collectCosts(): Promise<void> {
    const processes = [...this.#processes];
    const before = processes.map(({ costs }) => costs.length);
    for (const { child } of processes) child.send({ kind: "report" });
    while (
      processes.some(({ costs, child }, index) =>
        child.exitCode === null && child.signalCode === null &&
        costs.length === before[index]
      )
    ) await clock.sleep(20);
  }

  /** Publishes changes from random nodes while random processes are killed and replaced. */
  async #runRounds(platformAddress: string): Promise<void> {
    const rounds = Math.round(
      this.#options.seconds * 1000 / ROUND_MILLISECONDS,
    );
    const killCount = Math.ceil(
      this.#processes.size * this.#options.deaths / 100,
    );
    const killRounds = new Set<number>();
    while (killRounds.size < Math.min(killCount, rounds)) {
      killRounds.add(this.#random.nextBelow(rounds));
    }
    for (; this.#round < rounds; this.#round += 1) {
      if (killRounds.has(this.#round)) {
        void this.#replaceRandomProcess(platformAddress);
      }
      if (!this.#options.withoutControl) this.#publishRound();
      await clock.sleep(ROUND_MILLISECONDS);
    }
  }

  #publishRound(): void {
    const round = this.#round;
    this.#sendToRandomNode((node) => ({
      kind: "withdraw",
      node,
      key: `key-${round}`,
    }));
    if (round % ROUNDS_PER_CONFIGURATION === 1) {
      const size = this.#options.configurationBytes;
      this.#sendToRandomNode((node) => ({ kind: "apply", node, size }));
    }
    const engines = this.#options.nodes * ENGINES_PER_NODE;
    if (round % 2 === 0 && engines > DRIVEN_ENGINES + round) {
      const index = DRIVEN_ENGINES + round;
      const address = `10.1.${Math.floor(index / 250)}.${index % 250}:8000`;
      this.#sendToRandomNode((node) => ({ kind: "leave", node, address }));
    }
    if (round % 3 === 0) this.#changeLoad();
  }

  #changeLoad(): void {
    const address = `probe-${
      Math.floor(this.#round / 3) % DRIVEN_ENGINES
    }:8000`;
    const before = this.#runningRequestsByAddress.get(address) ?? 0;
    const running = before === 0 ? 40 + this.#round : 0;
    const publishedRunning = quantise(running);
    this.#runningRequestsByAddress.set(address, running);
    const subject = `load ${address} ${publishedRunning}`;
    this.#propagation.addSubject(
      subject,
      sharedMilliseconds(),
      this.#readyNodes(),
    );
    for (const { child } of this.#processes) {
      child.send({ kind: "load", address, running });
    }
  }

  #sendToRandomNode(create: (node: string) => DriverMessage): void {
    const readyProcesses = [...this.#processes].filter((
      { readyNodes, names },
    ) => readyNodes.size === names.length);
    const chosen =
      readyProcesses[this.#random.nextBelow(readyProcesses.length)];
    if (chosen === undefined) return;
    const node = chosen.names[this.#random.nextBelow(chosen.names.length)] ??
      "";
    chosen.child.send(create(node));
  }

  async #replaceRandomProcess(platformAddress: string): Promise<void> {
    const all = [...this.#processes];
    const chosen = all[this.#random.nextBelow(all.length)];
    if (chosen === undefined) return;
    this.#processes.delete(chosen);
    chosen.child.kill("SIGKILL");
    for (const name of chosen.names) this.#propagation.removeNode(name);
    await clock.sleep(REPLACEMENT_DELAY_MILLISECONDS);
    this.#startProcess(platformAddress, chosen.names.length);
  }

  #print(): void {
    const measured = [...this.#processes].filter(({ costs }) =>
      costs.length > 1
    );
    const perProcess = this.#options.nodesPerProcess;
    const figures = measured.map(({ costs, names }) => {
      const first = costs[0] as ProcessCosts;
      const last = costs[costs.length - 1] as ProcessCosts;
      const seconds = (last.atMilliseconds - first.atMilliseconds) / 1000;
      const nodeSeconds = seconds * names.length;
      return {
        // Bytes per second and node.
        receivedPerSecond: (last.receivedBytes - first.receivedBytes) /
          nodeSeconds,
        sentPerSecond: (last.sentBytes - first.sentBytes) / nodeSeconds,
        corePercent:
          (last.processorMilliseconds - first.processorMilliseconds) /
          nodeSeconds / 10,
        residentMebibytes: last.residentBytes / BYTES_PER_MEBIBYTE,
        heapMebibytes: last.heapBytes / BYTES_PER_MEBIBYTE,
        loadReadsPerSecond: (last.loadReads - first.loadReads) / nodeSeconds,
        streams: last.streams / names.length,
        serverFacts: last.factsHeld / names.length,
      };
    });
    const mean = Object.fromEntries(
      Object.keys(figures[0] ?? {}).map((name) => [
        name,
        round(average(figures.map((each) => each[name as keyof typeof each]))),
      ]),
    );
    const totalMebibytes = figures.reduce(
      (sum, each) => sum + each.residentMebibytes,
      0,
    );
    console.log(JSON.stringify({
      ...this.#options,
      processes: measured.length,
      perProcess,
      totalResidentMebibytes: Math.round(totalMebibytes),
    }));
    console.log(JSON.stringify(mean));
    for (const summary of this.#propagation.summarise()) {
      console.log(JSON.stringify(summary));
    }
    const incomplete = this.#propagation.describeIncomplete();
    if (incomplete.length > 0) console.log(incomplete.slice(0, 5).join("\n"));
  }
}

function average(values: ReadonlyArray<number>): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

const program = command({
  name: "measure",
  description:
    "Measure the cost of control on each node and the propagation time of published facts",
  args: {
    nodes: option({ type: number, long: "nodes" }),
    seed: option({ type: number, long: "seed" }),
    seconds: option({ type: number, long: "seconds", defaultValue: () => 40 }),
    nodesPerProcess: option({
      type: number,
      long: "nodes-per-process",
      defaultValue: () => 1,
    }),
    streams: option({ type: number, long: "streams", defaultValue: () => 6 }),
    organisations: option({
      type: number,
      long: "organisations",
      defaultValue: () => 0,
    }),
    deaths: option({
      type: number,
      long: "deaths-percent",
      defaultValue: () => 5,
    }),
    configurationBytes: option({
      type: number,
      long: "configuration-bytes",
      defaultValue: () => 4000,
    }),
    withoutControl: flag({ long: "without-control" }),
    semiSpaceMebibytes: option({
      type: number,
      long: "semi-space-mebibytes",
      defaultValue: () => 0,
    }),
  },
  handler: (options) => new Measurement(options).run(),
});

await run(program, process.argv.slice(2));
process.exit(0);
