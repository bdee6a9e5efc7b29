import test from "ava";
import { type AddressInfo, connect, createServer } from "node:net";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import {
  ConfirmWithdrawalRequestSchema,
  PeerService,
} from "../../generated/snipepath/v1/peer_pb.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { createPeerConnection } from "./peer_connection.ts";
import { type PeerServer, startPeerServer } from "./peer_server.ts";

const SECRET = "shared";

function startServer(log: RecordingEventLog): Promise<PeerServer> {
  return startPeerServer({
    address: "127.0.0.1:0",
    secret: SECRET,
    log,
    registerRoutes: [(router) =>
      router.service(PeerService, {
        confirmWithdrawal: () => ({ streamsCut: 3 }),
      })],
  });
}

async function ask(address: string, secret: string): Promise<string> {
  const connection = createPeerConnection({ address, secret });
  const client = createClient(PeerService, connection.transport);
  const request = create(ConfirmWithdrawalRequestSchema);
  try {
    const answer = await client.confirmWithdrawal(request);
    return `cut ${answer.streamsCut}`;
  } catch (error) {
    return Code[ConnectError.from(error).code] ?? "";
  } finally {
    connection.close();
  }
}

test("each call must show the secret", async (t) => {
  const log = new RecordingEventLog();
  const server = await startServer(log);
  t.is(await ask(server.address, SECRET), "cut 3");
  t.is(await ask(server.address, ""), "Unauthenticated");
  t.is(await ask(server.address, "other"), "Unauthenticated");
  t.is(log.events.length, 2);
  await server.close();
  t.is(await ask(server.address, SECRET), "Unavailable");
});

test("a server that does not speak HTTP/2 fails the call and nothing else", async (t) => {
  const garbage = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.write("HTTP/1.1 400 Bad Request\r\n\r\n");
    socket.end("x".repeat(10_000));
  });
  await new Promise<void>((resolve) => garbage.listen(0, "127.0.0.1", resolve));
  const { port } = garbage.address() as AddressInfo;
  for (const _attempt of [1, 2, 3]) {
    t.not(await ask(`127.0.0.1:${port}`, ""), "cut 3");
  }
  garbage.close();
});

test("a caller that does not speak HTTP/2 harms no other", async (t) => {
  const server = await startServer(new RecordingEventLog());
  const [host = "", port] = server.address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => socket.destroy());
  socket.resume();
  socket.write("x".repeat(10_000));
  await new Promise((resolve) => socket.once("close", resolve));
  t.is(await ask(server.address, SECRET), "cut 3");
  await server.close();
});
