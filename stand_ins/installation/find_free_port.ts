import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Finds a loopback port that is free now; another process may bind it at any time. */
export function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
