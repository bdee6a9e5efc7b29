import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { MemoryDurableTable } from "./memory_durable_table.ts";
import { type StartedServer, startHttpServer } from "./start_http_server.ts";
import { startUsersEngine, type UsersEngine } from "./users_engine_server.ts";
import { startUsersStore } from "./users_store_server.ts";

const PROGRAM = fileURLToPath(
  new URL("../../source/programs/snipepath_installation.js", import.meta.url),
);
const HOST = "calls.example";
const KEY = "key-1";
/** How long callers' connections may be idle. */
export const IDLE_MILLISECONDS = 5000;
/** Logged once all of a node's addresses are served. */
const STARTED_EVENT = "installationNodeStarted";
const LOGGED_CHARACTERS = 2000;

/** A node that runs as a process of its own. */
export interface WorldNode {
  readonly name: string;
  /** HOST:PORT for callers. */
  readonly caller: string;
  readonly ready: string;
  readonly directory: string;
  readonly process: ChildProcess;
}

/** A whole installation on loopback: a store, two engines, a plain service, duties and nodes. */
export interface InstallationWorld {
  readonly host: string;
  readonly key: string;
  readonly table: MemoryDurableTable;
  readonly engines: ReadonlyArray<UsersEngine>;
  /** Bodies of the usage reports that came. */
  readonly usageReports: ReadonlyArray<string>;
  readonly startNode: (name: string) => Promise<WorldNode>;
  readonly nameVersion: (version: number) => Promise<void>;
  readonly close: () => void;
}

/** How an installation differs from the usual one. */
export interface InstallationWorldOptions {
  /** Whether a text must be of one weight version. */
  readonly isSingleVersion?: boolean;
}

/** Starts everything but the nodes. */
export async function startInstallationWorld(
  options: InstallationWorldOptions = {},
): Promise<InstallationWorld> {
  const table = new MemoryDurableTable();
  const usageReports: string[] = [];
  const store = await startUsersStore(table);
  const engines = await Promise.all(
    ["e1", "e2", "e3", "e4"].map((identifier) =>
      startUsersEngine({
        identifier,
        events: 12,
        millisecondsPerEvent: 20,
        versions: new Map([["model-a", 1]]),
      })
    ),
  );
  const plain = await startHttpServer((request, response, body) => {
    response.writeHead(200, {
      "request-id": String(request.headers["request-id"]),
      "server-stamp": "signed by the plain service",
    }).end(`served ${request.headers["tenant"] ?? "nobody"} ${body}`);
  });
  const duties = await startHttpServer((request, response, body) => {
    if (request.url === "/usage") usageReports.push(body.toString());
    response.writeHead(200).end();
  });
  const put = async (
    table_: string,
    key: string,
    value: unknown,
  ): Promise<void> => {
    await table.commit({
      conditions: [],
      puts: [{
        table: table_,
        partition: "",
        key,
        value: Buffer.from(JSON.stringify(value)),
      }],
    });
  };
  await put("op", "config", createConfiguration(options));
  for (const { options, address } of engines) {
    await put("servers", options.identifier, toEntry("engines", address, 4));
  }
  await put("servers", "p1", toEntry("plain", plain.address, 6));
  const servers: StartedServer[] = [store, plain, duties, ...engines];
  const nodes: ChildProcess[] = [];
  return {
    host: HOST,
    key: KEY,
    table,
    engines,
    usageReports,
    startNode: async (name) => {
      const node = await startNode(name, { store, duties });
      nodes.push(node.process);
      return node;
    },
    nameVersion: (version) =>
      put("op", "version/model-a", { model: "model-a", version }),
    close: () => {
      for (const node of nodes) node.kill("SIGKILL");
      for (const server of servers) server.close();
    },
  };
}

function toEntry(service: string, address: string, slots: number): unknown {
  return {
    service,
    address,
    zone: "a",
    version: "v1",
    slots,
    state: "ready",
    "cold_remaining_ms": 0,
    models: service === "engines" ? [{ name: "model-a", version: 1 }] : [],
    seq: 0,
    born: 1,
  };
}

function createConfiguration(options: InstallationWorldOptions): unknown {
  const route = {
    host: HOST,
    "timeout_ms": 3000,
    "target_latency_ms": 200,
    "max_attempts": 3,
    priority: 1,
  };
  return {
    version: 1,
    routes: [
      {
        ...route,
        name: "a",
        prefix: "/calls/",
        kind: "idempotent",
        service: "plain",
      },
      {
        ...route,
        name: "b",
        prefix: "/score/",
        kind: "idempotent",
        service: "plain",
        public: true,
      },
      {
        ...route,
        name: "c",
        prefix: "/steps/",
        kind: "rollout",
        service: "engines",
        "single_version": options.isSingleVersion === true,
        "result_deadline_ms": 5000,
        "item_ttl_s": 30,
      },
    ],
    services: [
      {
        name: "engines",
        "health_path": "/health",
        "max_conns": 50,
        engine: { slots: 4, models: [{ name: "model-a" }] },
      },
      { name: "plain", "health_path": "/health", "max_conns": 50 },
    ],
    limits: {
      "max_header_bytes": 16_384,
      "max_body_bytes": 1_000_000,
      "header_timeout_ms": 3000,
      "idle_timeout_ms": IDLE_MILLISECONDS,
    },
    tenants: [{ name: "school", "api_keys": [KEY], priority: 1 }],
  };
}

// Another process may take a port between its choice and the node's start; only then it starts anew.
async function startNode(
  name: string,
  world: { readonly store: StartedServer; readonly duties: StartedServer },
): Promise<WorldNode> {
  for (;;) {
    const started = await tryNode(name, world);
    if ("process" in started) return started;
    if (!started.problem.includes("EADDRINUSE")) {
      throw new Error(`Node ${name} did not become ready: ${started.problem}`);
    }
  }
}

async function tryNode(
  name: string,
  world: { readonly store: StartedServer; readonly duties: StartedServer },
): Promise<WorldNode | { readonly problem: string }> {
  const [front, ready, directory] = await Promise.all([
    findFreePort(),
    findFreePort(),
    findFreePort(),
  ]);
  const listen = {
    front: `127.0.0.1:${front}`,
    ready: `127.0.0.1:${ready}`,
    directory: `127.0.0.1:${directory}`,
  };
  const path = join(mkdtempSync(join(tmpdir(), "snipepath-")), "boot.json");
  writeFileSync(
    path,
    JSON.stringify({
      "node_name": name,
      zone: "a",
      region: "r",
      listen,
      bounds: { "report_window_s": 1, "usage_late_s": 2, "grace_s": 8 },
      platform: { address: world.store.address, "row_bytes": 65_536 },
      cloud: { address: world.duties.address, duties: ["usage_report"] },
    }),
  );
  const process_ = spawn(process.execPath, [PROGRAM], {
    env: { ...process.env, SNIPEPATH_SETTINGS: path },
    stdio: ["ignore", "ignore", "pipe"],
  });
  const output: string[] = [];
  process_.stderr.on("data", (chunk: Buffer) => output.push(String(chunk)));
  const node = {
    name,
    caller: listen.front,
    ready: listen.ready,
    directory: listen.directory,
    process: process_,
  };
  const hasStarted = (): boolean => output.join("").includes(STARTED_EVENT);
  if (await isReadyInTime(node, hasStarted)) return node;
  process_.kill("SIGKILL");
  return { problem: output.join("").slice(-LOGGED_CHARACTERS) };
}

// Another server may answer at a port that the node could not get, so its own log counts.
async function isReadyInTime(
  node: WorldNode,
  hasStarted: () => boolean,
): Promise<boolean> {
  for (let round = 0; round < 200; round += 1) {
    if (node.process.exitCode !== null) return false;
    if (!hasStarted()) {
      await new Promise((resolve) => setTimeout(resolve, 50));
      continue;
    }
    const status = await fetch(`http://${node.ready}/-/readiness`).then(
      (response) => response.status,
      () => 0,
    );
    if (status === 200) return true;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  return false;
}

function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
