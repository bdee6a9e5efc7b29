import { once } from "node:events";
import { createServer } from "node:net";

// Below the range of ephemeral ports, so that the kernel doesn't assign a port to another process
// before a server is restarted on it.
const FIRST_PORT = 10_000;
const PORTS = 20_000;
const PORT_STRIDE = 97;

let nextOffset = (process.pid * PORT_STRIDE) % PORTS;

/** Finds a loopback port that is free and was not returned before. */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < PORTS; tries += 1) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORTS;
    if (await isFree(port)) return port;
  }
  throw new Error(`No port from ${FIRST_PORT} is free`);
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, "127.0.0.1");
  try {
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
