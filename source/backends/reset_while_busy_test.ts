import { once } from "node:events";
import { Worker } from "node:worker_threads";
import test from "ava";
import { SystemClock } from "../utilities/system_clock.ts";
import { ConnectionPools } from "./connection_pools.ts";
import { openExchange } from "./http_exchange.ts";

const BUSY_MILLISECONDS = 200;

/** A server in a thread of its own, which answers and ends connections while the test is busy. */
const SERVER = `
  const { createServer } = require("node:net");
  const { parentPort } = require("node:worker_threads");
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", (data) => {
      const isReset = data.includes("/reset");
      const hasHead = data.includes("/head");
      const bytes = "HTTP/1.1 200 OK\\r\\n\\r\\n" + (hasHead ? "" : "one");
      socket.write(bytes, () => setTimeout(() =>
        isReset ? socket.resetAndDestroy() : socket.end(), 30));
    });
  });
  server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

const CASES: Readonly<Record<string, { path: string; isWhole: boolean }>> = {
  "a body whose connection is reset": { path: "/reset", isWhole: false },
  "a head whose connection is reset": { path: "/reset/head", isWhole: false },
  "a body whose connection is closed": { path: "/close", isWhole: true },
};

for (const [title, { path, isWhole }] of Object.entries(CASES)) {
  // Guards against taking a reset for the end of a response, as libuv reports both in the same way
  // when the bytes before a reset are read together with it.
  test(`${title} while the process is busy is ${isWhole ? "" : "not "}complete`, async (t) => {
    const worker = new Worker(SERVER, { eval: true });
    t.teardown(() => worker.terminate());
    const [port] = await once(worker, "message");
    const pools = new ConnectionPools();
    t.teardown(() => pools.close());
    let isBusy = false;
    const answer = await openExchange({ pools, clock: new SystemClock() }, {
      address: `127.0.0.1:${port}`,
      method: "GET",
      path,
      headers: {},
    }, {
      signal: new AbortController().signal,
      silenceMilliseconds: 2000,
      mayStart: () => {
        isBusy = true;
        setImmediate(block);
        return true;
      },
    });
    t.true(isBusy);
    if (answer.kind !== "answered") return t.false(isWhole, answer.reason);
    const read = async (): Promise<string> => {
      let text = "";
      for await (const chunk of answer.body) text += chunk.toString();
      return text;
    };
    if (isWhole) return t.is(await read(), "one");
    await t.throwsAsync(read);
  });
}

function block(): void {
  const until = performance.now() + BUSY_MILLISECONDS;
  while (performance.now() < until);
}
