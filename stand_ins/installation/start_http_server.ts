import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** A running server on a loopback address. */
export interface StartedServer {
  /** HOST:PORT. */
  readonly address: string;
  /** Stops the server and destroys its connections. */
  readonly close: () => void;
}

/** Handles a request whose body has been read. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: Buffer,
) => Promise<void> | void;

/** Starts an HTTP server on a free loopback port. */
export async function startHttpServer(
  serve: RequestHandler,
): Promise<StartedServer> {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    response.on("error", () => {});
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on(
      "end",
      () => void serve(request, response, Buffer.concat(chunks)),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
