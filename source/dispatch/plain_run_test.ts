import { createHash, randomBytes } from "node:crypto";
import { Readable } from "node:stream";
import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import {
  createDispatchBench,
  type DispatchBench,
} from "../../stand_ins/dispatch/dispatch_bench.ts";
import {
  type PlainEntry,
  startPlainEntry,
} from "../../stand_ins/dispatch/plain_entry.ts";
import {
  type StartedPlainService,
  startPlainService,
} from "../../stand_ins/plain_service/start_plain_service.ts";
import { startRawServer } from "../../stand_ins/raw_server/raw_server.ts";
import type { PlainWork } from "./dispatcher.ts";

const LARGE_BODY_BYTES = 3_000_000;
const SILENCE_MILLISECONDS = 300;

interface PlainCallSetup {
  readonly bench: DispatchBench;
  readonly service: StartedPlainService;
  readonly entry: PlainEntry;
}

async function startSetup(
  t: ExecutionContext,
  overrides: Partial<PlainWork> = {},
): Promise<PlainCallSetup> {
  const service = await startPlainService();
  t.teardown(() => service.close());
  const bench = createDispatchBench({
    silenceMilliseconds: SILENCE_MILLISECONDS,
  });
  t.teardown(() => bench.close());
  bench.servers.set({ address: service.address, service: "comenzi-app" });
  const entry = await startPlainEntry(bench, overrides);
  t.teardown(() => entry.close());
  return { bench, service, entry };
}

function digest(body: Buffer): string {
  return createHash("sha256").update(body).digest("hex");
}

test("bodies of all kinds arrive complete", async (t) => {
  const { entry } = await startSetup(t);
  const large = randomBytes(LARGE_BODY_BYTES);
  const bodies = [
    { name: "none", body: null, sent: Buffer.alloc(0) },
    { name: "small", body: Buffer.from("one"), sent: Buffer.from("one") },
    { name: "large with length", body: large, sent: large },
    {
      name: "large in chunks",
      body: Readable.from([large.subarray(0, 1e6), large.subarray(1e6)]),
      sent: large,
    },
  ];
  for (const { name, body, sent } of bodies) {
    const answer = await request(`http://${entry.address}/orders`, {
      method: "POST",
      body,
    });
    const echoed = await answer.body.json() as Record<string, unknown>;
    t.is(echoed["digest"], digest(sent), name);
  }
});

test("a caller that sends slowly does not make the server count as silent", async (t) => {
  const { entry, bench } = await startSetup(t);
  async function* slowly(): AsyncGenerator<Buffer> {
    yield Buffer.from("first ");
    await bench.context.clock.sleep(3 * SILENCE_MILLISECONDS);
    yield Buffer.from("second");
  }
  const answer = await request(`http://${entry.address}/orders`, {
    method: "POST",
    body: Readable.from(slowly()),
  });
  t.is(answer.statusCode, 200);
  const echoed = await answer.body.json() as Record<string, unknown>;
  t.is(echoed["digest"], digest(Buffer.from("first second")));
});

test("a caller that reads slowly does not make the server count as silent", async (t) => {
  const { entry, bench } = await startSetup(t);
  const body = "x".repeat(20_000_000);
  const server = await startRawServer(async (connection) => {
    await connection.readRequest();
    connection.write(
      `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  });
  t.teardown(() => server.close());
  for (const { address } of bench.servers.servers("comenzi-app")) {
    bench.servers.remove(address);
  }
  bench.servers.set({ address: server.address, service: "comenzi-app" });
  const answer = await request(`http://${entry.address}/orders`);
  await bench.context.clock.sleep(3 * SILENCE_MILLISECONDS);
  t.is((await answer.body.text()).length, body.length);
  t.is(entry.outcomes[0]?.kind, "finished");
});

test("a non-repeatable call uses a new connection", async (t) => {
  const connections = new Set<unknown>();
  const { entry, bench } = await startSetup(t, { repeatable: false });
  const server = await startRawServer(async (connection) => {
    connections.add(connection);
    await connection.readRequest();
    connection.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
  });
  t.teardown(() => server.close());
  for (const { address } of bench.servers.servers("comenzi-app")) {
    bench.servers.remove(address);
  }
  bench.servers.set({ address: server.address, service: "comenzi-app" });
  for (let count = 0; count < 3; count += 1) {
    const answer = await request(`http://${entry.address}/orders`);
    await answer.body.text();
  }
  t.true(connections.size >= 3);
});
