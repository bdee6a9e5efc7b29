import { Socket } from "node:net";
import test from "ava";
import { startRawServer } from "../../stand_ins/installation/start_raw_server.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { ConnectionPools } from "./connection_pools.ts";
import { openExchange } from "./http_exchange.ts";
import { UnreadBytes } from "./unread_bytes.ts";

test("bytes that were passed on are removed from the start", (t) => {
  const unread = new UnreadBytes();
  unread.add(Buffer.from("abc"));
  unread.add(Buffer.from("de"));
  unread.remove(2);
  t.is(unread.takeAll().toString(), "cde");
  unread.add(Buffer.from("fgh"));
  unread.remove(9);
  t.is(unread.takeAll().toString(), "");
});

const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: (socket) => void socket.destroy(),
  reset: (socket) => void socket.resetAndDestroy(),
};

for (const [title, end] of Object.entries(ENDINGS)) {
  // Guards against the loss of events that a server has sent just before its connection broke off.
  test(`the bytes before a connection was ${title} are read, however late`, async (t) => {
    const server = await startRawServer((_request, socket) => {
      const head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
      socket.write(`${head}4\r\none \r\n`);
      socket.write("4\r\ntwo \r\n", () => setTimeout(() => end(socket), 30));
    });
    t.teardown(server.close);
    const pools = new ConnectionPools();
    t.teardown(() => pools.close());
    const answer = await openExchange({ pools, clock: new SystemClock() }, {
      address: server.address,
      method: "GET",
      path: "/",
      headers: {},
    }, {
      signal: new AbortController().signal,
      silenceMilliseconds: 2000,
    });
    if (answer.kind !== "answered") return t.fail(answer.reason);
    await new Promise((resolve) => setTimeout(resolve, 150));
    let text = "";
    const error = await t.throwsAsync(async () => {
      for await (const chunk of answer.body) text += chunk.toString();
    });
    t.truthy(error);
    t.is(text, "one two ");
  });
}
