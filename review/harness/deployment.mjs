// deno-lint-ignore-file explicit-function-return-type
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { randomInt } from "node:crypto";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePort } from "../../build/stand_ins/installation/find_free_port.js";
import { MemoryDurableTable } from "../../build/stand_ins/installation/memory_durable_table.js";
import { startUsersStore } from "../../build/stand_ins/installation/users_store_server.js";
import { call, sleep, waitUntil } from "./client.mjs";
import { listModels, startEngine } from "./engine.mjs";
import { startProxy } from "./proxy.mjs";
import { startServer } from "./server.mjs";
import {
  createConfiguration,
  createSettings,
  HEARTBEAT_MILLISECONDS,
} from "./settings.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const INTERNAL_PORTS = [7780, 7795];
const READY_MILLISECONDS = 20_000;

/** Returns the command of the role in the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /\[roles\.node\][^[]*?run = "([^"]+)"/.exec(text)[1].split(" ");
}

/**
 * A small deployment on loopback addresses: the platform's store and interface, engines, and nodes that
 * run as separate processes with the command of the deploy file.
 */
export class Deployment {
  namedVersions = new Map();
  nodes = [];
  engines = [];
  table = new MemoryDurableTable();
  #record;
  #folder = mkdtempSync(join(tmpdir(), "snipepath-review-"));
  #network = `127.${randomInt(1, 250)}.${randomInt(1, 250)}`;
  #closers = [];
  #beats = new Map();
  #timer;
  #started = 0;
  #command = readCommand();

  constructor(record) {
    this.#record = record;
  }

  /** Starts the platform. */
  async start() {
    this.store = await startUsersStore(this.table);
    this.cloud = await startServer("127.0.0.1", (request, response, body) => {
      const fence = request.headers["fence-token"];
      this.#record.add(
        `platform gets ${request.url} fence ${fence} ${body}`,
      );
      response.writeHead(200).end();
    });
    this.#closers.push(this.store.close, this.cloud.close);
    this.#timer = setInterval(() => {
      for (const identifier of this.#beats.keys()) this.#beat(identifier);
    }, HEARTBEAT_MILLISECONDS);
  }

  /** Writes a row as the operator, a trainer or an engine does. */
  async putRow(table, key, value) {
    await this.table.commit({
      conditions: [],
      puts: [{
        table,
        partition: "",
        key,
        value: Buffer.from(JSON.stringify(value)),
      }],
    });
  }

  /** Writes a configuration; the store's answer is its acknowledgement. */
  async configure(configuration) {
    await this.putRow("op", "config", createConfiguration(configuration));
    this.#record.add(
      `operator: configuration ${configuration.version} is acknowledged`,
    );
  }

  /** Names a weight version. */
  async nameVersion(model, version) {
    this.namedVersions.set(model, version);
    await this.putRow("op", `version/${model}`, { model, version });
    this.#record.add(`trainer: names ${model} version ${version}`);
  }

  /** Starts an engine and lets it register. */
  async startEngine(service, options) {
    const engine = await startEngine(this.#record, {
      ip: "127.0.0.1",
      namedVersions: this.namedVersions,
      ...options,
    });
    this.engines.push(engine);
    this.#closers.push(engine.close);
    return await this.addServer(service, engine);
  }

  /** Lets a server that a case has started register. */
  async addServer(service, server) {
    Object.assign(server, { service, zone: "cluj-a", state: "ready" });
    server.models ??= new Map();
    server.accepted ??= 0;
    server.born ??= Date.now();
    this.#beats.set(server.identifier, server);
    await this.#beat(server.identifier);
    return server;
  }

  /** Lets an engine report that it drains, and leave after a time. */
  async drainEngine(engine, milliseconds) {
    engine.state = "draining";
    await this.#beat(engine.identifier);
    this.#record.add(`${engine.identifier} reports that it drains`);
    setTimeout(() => {
      this.#beats.delete(engine.identifier);
      const place = { table: "servers", partition: "", key: engine.identifier };
      void this.table.commit({ conditions: [], puts: [], deletes: [place] });
      engine.close();
      this.#record.add(`${engine.identifier} has left`);
    }, milliseconds);
  }

  async #beat(identifier) {
    const engine = this.#beats.get(identifier);
    await this.putRow("servers", identifier, {
      service: engine.service,
      address: engine.address,
      zone: engine.zone,
      version: "v1",
      slots: engine.slots,
      state: engine.state,
      "cold_remaining_ms": 0,
      stage: "both",
      models: listModels(engine.models),
      seq: engine.accepted,
      born: engine.born,
    });
  }

  /** Starts a node whose calls to the store pass a proxy of its own, and waits until it is ready. */
  async startNode(name, zone) {
    this.#started += 1;
    const ip = `${this.#network}.${this.#started}`;
    const proxy = await startProxy("127.0.0.1", this.store.address);
    this.#closers.push(proxy.close);
    const ports = await Promise.all([1, 2, 3].map(() => findFreePort()));
    const [front, ready, directory] = ports.map((port) => `${ip}:${port}`);
    const node = { name, zone, ip, front, ready, directory, proxy, log: "" };
    node.internalPorts = INTERNAL_PORTS;
    const path = join(this.#folder, `${name}.json`);
    writeFileSync(
      path,
      JSON.stringify(createSettings(node, {
        storeAddress: proxy.address,
        cloudAddress: this.cloud.address,
      })),
    );
    const [program, ...words] = this.#command;
    node.process = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SNIPEPATH_SETTINGS: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [node.process.stdout, node.process.stderr]) {
      stream.on("data", (chunk) => {
        node.log += chunk;
      });
    }
    node.process.on("exit", (status, signal) => {
      this.#record.add(`${name} has ended: ${status ?? signal}`);
    });
    this.nodes.push(node);
    const isReady = await waitUntil(async () => {
      const answer = await call(ready, {
        method: "GET",
        path: "/-/readiness",
        milliseconds: 1000,
      });
      return answer.status === 200;
    }, READY_MILLISECONDS);
    if (!isReady) {
      throw new Error(`${name} is not ready: ${node.log.slice(-2000)}`);
    }
    this.#record.add(`${name} is ready`);
    return node;
  }

  /** Ends everything that was started. */
  async close() {
    clearInterval(this.#timer);
    for (const node of this.nodes) node.process.kill("SIGKILL");
    for (const close of this.#closers) close();
    await sleep(100);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
