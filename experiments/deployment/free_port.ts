import { once } from "node:events";
import { createServer } from "node:net";

// Below the range from which kernels take ports by themselves, so that a port stays free for the
// same process to be started again on it.
const FIRST_PORT = 10_000;
const PORTS = 20_000;
const PORTS_OF_A_PROCESS = 97;

let next = (process.pid * PORTS_OF_A_PROCESS) % PORTS;

/** Finds a loopback port that is free and was not returned before. */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < PORTS; tries += 1) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORTS;
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
