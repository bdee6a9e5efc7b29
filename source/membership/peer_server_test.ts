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

async function confirmWithdrawal(
  address: string,
  secret: string,
): Promise<string> {
  const connection = createPeerConnection({ address, secret });
  const client = createClient(PeerService, connection.transport);
  const request = create(ConfirmWithdrawalRequestSchema);
  try {
    const response = await client.confirmWithdrawal(request);
    return `cut ${response.streamsCut}`;
  } catch (error) {
    return Code[ConnectError.from(error).code] ?? "";
  } finally {
    connection.close();
  }
}

test("a call without the shared secret is refused", async (t) => {
  const log = new RecordingEventLog();
  const server = await startServer(log);
  t.is(await confirmWithdrawal(server.address, SECRET), "cut 3");
  t.is(await confirmWithdrawal(server.address, ""), "Unauthenticated");
  t.is(await confirmWithdrawal(server.address, "other"), "Unauthenticated");
  t.is(log.events.length, 2);
  await server.close();
  t.is(await confirmWithdrawal(server.address, SECRET), "Unavailable");
});

test("a server that does not support HTTP/2 fails only the call", async (t) => {
  const invalidServer = createServer((socket) => {
    socket.on("error", () => socket.destroy());
    socket.write("HTTP/1.1 400 Bad Request\r\n\r\n");
    socket.end("x".repeat(10_000));
  });
  await new Promise<void>((resolve) =>
    invalidServer.listen(0, "127.0.0.1", resolve)
  );
  const { port } = invalidServer.address() as AddressInfo;
  for (const _attempt of [1, 2, 3]) {
    t.not(await confirmWithdrawal(`127.0.0.1:${port}`, ""), "cut 3");
  }
  invalidServer.close();
});

test("a client that does not support HTTP/2 does not affect other clients", async (t) => {
  const server = await startServer(new RecordingEventLog());
  const [host = "", port] = server.address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => socket.destroy());
  socket.resume();
  socket.write("x".repeat(10_000));
  await new Promise((resolve) => socket.once("close", resolve));
  t.is(await confirmWithdrawal(server.address, SECRET), "cut 3");
  await server.close();
});
