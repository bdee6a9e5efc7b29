import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { StartedServer } from "./start_http_server.ts";

/** What a proxy does with the bytes of the next responses; passes them on if undefined. */
export type ResponseFault = (bytes: Buffer, caller: Socket) => void;

/** A proxy between nodes and a server that a test can make fail. */
export interface RawProxy extends StartedServer {
  /** Applied to each piece of a response while it is set. */
  fault: ResponseFault | undefined;
  /** Address to which new connections lead. */
  target: string;
}

/** Starts a proxy on a free loopback port that passes bytes on to a server. */
export async function startRawProxy(): Promise<RawProxy> {
  const sockets = new Set<Socket>();
  const server = createServer((caller) => {
    const [host = "", port] = proxy.target.split(":");
    const upstream = connect(Number(port), host);
    for (const socket of [caller, upstream]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on("error", () => {});
      socket.on("close", () => sockets.delete(socket));
    }
    caller.on("data", (bytes: Buffer) => upstream.write(bytes));
    upstream.on("data", (bytes: Buffer) => {
      if (proxy.fault === undefined) caller.write(bytes);
      else proxy.fault(bytes, caller);
    });
    caller.on("close", () => upstream.destroy());
    upstream.on("close", () => caller.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const proxy: RawProxy = {
    address: `127.0.0.1:${port}`,
    fault: undefined,
    target: "",
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
  return proxy;
}
