import { spawn } from "node:child_process";
import { once } from "node:events";
import { type RunningProcess, startProcess } from "./child_process.ts";
import { findFreePort } from "./free_port.ts";
import type { DeploymentLayout } from "./layout.ts";

const STAND_IN_PROGRAM = "build/bin/snipepath-stand-in.mjs";
const NODE_PROGRAM = "build/bin/snipepath-node.mjs";
const COMMAND_PROGRAM = "build/bin/snipepath.mjs";
const HOST = "127.0.0.1";
const LISTENING = "listening ";
const FAULT_TIMEOUT_MILLISECONDS = 500;

/** Options for starting a deployment. */
export interface DeploymentOptions {
  readonly layout: DeploymentLayout;
  readonly nodes: number;
  /** Flags of every node, in addition to names and addresses. */
  readonly nodeFlags?: ReadonlyArray<string>;
  /** Flags of Node.js for every node, such as "--cpu-prof". */
  readonly runtimeFlags?: ReadonlyArray<string>;
  /** Flags of every engine. */
  readonly engineFlags?: ReadonlyArray<string>;
  /** Returns flags of the engine with an index, in addition to the common ones. */
  readonly getEngineFlags?: (index: number) => ReadonlyArray<string>;
  /** Flags of the platform stand-in. */
  readonly platformFlags?: ReadonlyArray<string>;
  /** Folder for the logs; undefined keeps only the newest lines in memory. */
  readonly logFolder?: string;
}

/** Running backend server. */
export interface RunningServer {
  readonly name: string;
  readonly address: string;
  readonly service: string;
  readonly failureDomain: string;
  process: RunningProcess;
}

/** Running node. */
export interface RunningNode {
  readonly name: string;
  readonly failureDomain: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  process: RunningProcess;
}

/** Exit status and output of a command. */
export interface CommandResult {
  readonly status: number | null;
  readonly output: string;
}

/**
 * Deployment on loopback, with a process for each node, each backend server and the platform.
 * @example
 * ```ts
 * const deployment = await Deployment.start({ layout: LAYOUTS.atbr, nodes: 3 });
 * await deployment.runCommand(["status"]);
 * await deployment.stop();
 * ```
 */
export class Deployment {
  readonly #options: DeploymentOptions;
  /** Process of the platform stand-in. */
  readonly platform: RunningProcess;
  /** Backend servers; the list stays the same until `stop`. */
  readonly servers: RunningServer[] = [];
  /** Nodes in the order of their names. */
  readonly nodes: RunningNode[] = [];

  private constructor(options: DeploymentOptions, platform: RunningProcess) {
    this.#options = options;
    this.platform = platform;
  }

  /**
   * Starts the platform, the backend servers and the nodes.
   * @param options - Layout, sizes and flags.
   */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const platform = await startProcess({
      name: "platform",
      program: STAND_IN_PROGRAM,
      arguments: ["platform", ...options.platformFlags ?? []],
      readyPrefix: LISTENING,
      ...getLogFileOption(options, "platform"),
    });
    const deployment = new Deployment(options, platform);
    try {
      await deployment.#startServers();
      await Promise.all(
        Array.from(
          { length: options.nodes },
          (_, index) => deployment.startNode(index),
        ),
      );
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    deployment.nodes.sort((left, right) => left.name.localeCompare(right.name));
    return deployment;
  }

  /** HOST:PORT of the platform. */
  get platformAddress(): string {
    return this.platform.ready;
  }

  /**
   * Starts one node; a node with an index that was used before has the same name and new addresses.
   * @param index - Index of the node.
   */
  async startNode(index: number): Promise<RunningNode> {
    const { layout, nodeFlags } = this.#options;
    const name = `node-${index + 1}`;
    const failureDomain = pickCyclic(layout.failureDomains, index);
    const callerAddress = `${HOST}:${await findFreePort()}`;
    const peerAddress = `${HOST}:${await findFreePort()}`;
    const process = await startProcess({
      name,
      program: NODE_PROGRAM,
      runtimeFlags: this.#options.runtimeFlags ?? [],
      arguments: [
        `--node=${name}`,
        `--failure-domain=${failureDomain}`,
        `--region=${layout.region}`,
        `--caller-address=${callerAddress}`,
        `--peer-address=${peerAddress}`,
        `--platform-address=http://${this.platformAddress}`,
        ...nodeFlags ?? [],
      ],
      readyPrefix: LISTENING,
      ...getLogFileOption(this.#options, name),
    });
    const node = { name, failureDomain, callerAddress, peerAddress, process };
    const position = this.nodes.findIndex((each) => each.name === name);
    if (position >= 0) this.nodes[position] = node;
    else this.nodes.push(node);
    return node;
  }

  /**
   * Runs the `snipepath` command with the addresses of all nodes.
   * @param commandArguments - Arguments of the command.
   */
  async runCommand(
    commandArguments: ReadonlyArray<string>,
  ): Promise<CommandResult> {
    const child = spawn(process.execPath, [
      COMMAND_PROGRAM,
      ...commandArguments,
    ], {
      env: {
        ...process.env,
        SNIPEPATH_OPERATOR_NODES: this.nodes.map((node) => node.peerAddress)
          .join(","),
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    let errorOutput = "";
    child.stdout.on("data", (chunk) => output += String(chunk));
    child.stderr.on("data", (chunk) => errorOutput += String(chunk));
    await once(child, "close");
    if (child.exitCode !== 0) output += errorOutput;
    return { status: child.exitCode, output };
  }

  /**
   * Runs the `snipepath` command and returns its output.
   * @param commandArguments - Arguments of the command.
   * @throws When the exit status is not 0.
   */
  async runCommandOrFail(
    commandArguments: ReadonlyArray<string>,
  ): Promise<string> {
    const result = await this.runCommand(commandArguments);
    if (result.status === 0) return result.output.trim();
    throw new Error(
      `snipepath ${commandArguments.join(" ")}: ${result.output}`,
    );
  }

  /**
   * Restarts a backend server at the same address after its process has ended.
   * @param server - Backend server to restart.
   */
  async restartServer(server: RunningServer): Promise<void> {
    const port = server.address.slice(server.address.lastIndexOf(":") + 1);
    server.process = await this.#startServerProcess(server.service, {
      name: server.name,
      flags: [`--port=${port}`],
    });
  }

  /**
   * Injects a fault into a stand-in.
   * @param address - HOST:PORT of the stand-in.
   * @param fault - Fault, in the format of the stand-in's interface.
   */
  async setFault(
    address: string,
    fault: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    // A fault that freezes all connections may freeze this one before the response.
    await fetch(`http://${address}/faults`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(fault),
      signal: AbortSignal.timeout(FAULT_TIMEOUT_MILLISECONDS),
    }).catch(() => undefined);
  }

  /**
   * Clears all faults of a stand-in.
   * @param address - HOST:PORT of the stand-in.
   */
  async clearFaults(address: string): Promise<void> {
    await fetch(`http://${address}/faults`, {
      method: "DELETE",
      signal: AbortSignal.timeout(FAULT_TIMEOUT_MILLISECONDS),
    }).catch(() => undefined);
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    const processes = [
      ...this.nodes.map((node) => node.process),
      ...this.servers.map((server) => server.process),
      this.platform,
    ];
    await Promise.all(processes.map((each) => each.end("SIGKILL")));
  }

  async #startServers(): Promise<void> {
    const { layout } = this.#options;
    const wanted = layout.services.flatMap((service) =>
      Array.from({ length: service.servers }, (_, index) => ({
        service,
        failureDomain: pickCyclic(layout.failureDomains, index),
        name: `${service.name}-${index + 1}`,
        flags: service.kind === "model"
          ? this.#options.getEngineFlags?.(index) ?? []
          : [],
      }))
    );
    await Promise.all(wanted.map(async (each) => {
      const { service, failureDomain, name, flags } = each;
      const process = await this.#startServerProcess(service.name, {
        name,
        flags: [...flags, `--port=${await findFreePort()}`],
      });
      this.servers.push({
        name,
        address: process.ready,
        service: service.name,
        failureDomain,
        process,
      });
      await this.#registerServer(process.ready, service.name, failureDomain);
    }));
  }

  #startServerProcess(
    service: string,
    started: { readonly name: string; readonly flags: ReadonlyArray<string> },
  ): Promise<RunningProcess> {
    const isModel = this.#options.layout.services.some((each) =>
      each.name === service && each.kind === "model"
    );
    const engineArguments = [
      "engine",
      `--weight-store=http://${this.platformAddress}`,
      ...this.#options.engineFlags ?? [],
    ];
    return startProcess({
      name: started.name,
      program: STAND_IN_PROGRAM,
      arguments: [...isModel ? engineArguments : ["plain"], ...started.flags],
      readyPrefix: LISTENING,
      ...getLogFileOption(this.#options, started.name),
    });
  }

  async #registerServer(
    address: string,
    service: string,
    failureDomain: string,
  ): Promise<void> {
    const answer = await fetch(`http://${this.platformAddress}/instances`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        kind: "backendServer",
        name: address,
        address,
        failureDomain,
        service,
        tier: "steady",
        leaving: false,
        microsPerHour: 1_000_000,
        permanent: true,
      }),
    });
    if (!answer.ok) throw new Error(`Can't register ${address}`);
    await answer.arrayBuffer();
  }
}

function pickCyclic(values: ReadonlyArray<string>, index: number): string {
  return values[index % values.length] ?? "";
}

function getLogFileOption(
  options: DeploymentOptions,
  name: string,
): { readonly logFile?: string } {
  return options.logFolder === undefined
    ? {}
    : { logFile: `${options.logFolder}/${name}.log` };
}
