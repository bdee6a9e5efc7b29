// deno-lint-ignore-file explicit-function-return-type
import { once } from "node:events";
import { createServer } from "node:http";

/** Starts an HTTP server on a free port of an address; `serve` gets the request with its whole body. */
export async function startServer(ip, serve) {
  const server = createServer((request, response) => {
    const chunks = [];
    response.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      void serve(request, response, Buffer.concat(chunks));
    });
  });
  server.keepAliveTimeout = 30_000;
  server.listen(0, ip);
  await once(server, "listening");
  return {
    address: `${ip}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
