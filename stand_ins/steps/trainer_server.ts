import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Caller, EntryRoute } from "../../source/entry/entry_handler.ts";
import type { Clock } from "../../source/utilities/clock.ts";

/** An HTTP server for entry routes that treats every request as sent by one caller. */
export interface TrainerServer {
  /** Origin of the server, such as "http://127.0.0.1:40000". */
  readonly origin: string;
  /** The caller that routes see, which a test may replace. */
  caller: Caller;
  /** Stops the server and closes its connections. */
  close(): Promise<void>;
}

/**
 * Starts a server for entry routes on a free port.
 * @param routes - Routes to serve.
 * @param clock - Clock for the arrival times of requests.
 * @example
 * ```ts
 * const server = await startTrainerServer(createTrainerRoutes({ steps }), clock);
 * ```
 */
export async function startTrainerServer(
  routes: ReadonlyArray<EntryRoute>,
  clock: Clock,
): Promise<TrainerServer> {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://localhost");
    const abortController = new AbortController();
    response.on("close", () => abortController.abort());
    for (const route of routes) {
      const parameters = matchPath(route.path, url.pathname);
      if (route.method !== request.method || parameters === undefined) continue;
      void route.handler({
        requestIdentifier: "request",
        caller: result.caller,
        url,
        parameters,
        request,
        response,
        signal: abortController.signal,
        arrivedAt: clock.monotonic(),
      });
      return;
    }
    response.writeHead(404).end();
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const result: TrainerServer = {
    origin: `http://127.0.0.1:${port}`,
    caller: { organisation: "guild", keyIdentifier: "k", isTrainer: true },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
  return result;
}

function matchPath(
  pattern: string,
  path: string,
): Record<string, string> | undefined {
  const names = pattern.split("/");
  const parts = path.split("/");
  if (names.length !== parts.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [position, name] of names.entries()) {
    const part = parts[position] ?? "";
    if (name.startsWith(":")) parameters[name.slice(1)] = decode(part);
    else if (name !== part) return undefined;
  }
  return parameters;
}

function decode(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return part;
  }
}
