import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type {
  PlainOutcome,
  PlainWork,
} from "../../source/dispatch/dispatcher.ts";
import type { DispatchBench } from "./dispatch_bench.ts";

/** An HTTP server that passes every request to a dispatcher. */
export interface PlainEntry {
  /** HOST:PORT. */
  readonly address: string;
  /** Outcomes in the order in which the calls ended. */
  readonly outcomes: ReadonlyArray<PlainOutcome>;
  close(): Promise<void>;
}

const REFUSED_STATUS = 599;

/**
 * Starts an entry that passes requests to a bench's dispatcher, and sends status 599 when the
 * dispatcher has sent no response head.
 * @param bench - Bench whose dispatcher handles the requests.
 * @param overrides - Fields that override those of the bench's default work.
 * @example
 * ```ts
 * const entry = await startPlainEntry(bench, { repeatable: false });
 * ```
 */
export async function startPlainEntry(
  bench: DispatchBench,
  overrides: Partial<PlainWork> = {},
): Promise<PlainEntry> {
  const outcomes: PlainOutcome[] = [];
  const server = createServer(async (request, response) => {
    const outcome = await bench.dispatcher.runPlain({
      ...bench.work({ service: "comenzi-app" }),
      path: request.url ?? "/",
      repeatable: true,
      request,
      response,
      ...overrides,
    });
    outcomes.push(outcome);
    if (response.headersSent || response.destroyed) return;
    response.writeHead(REFUSED_STATUS);
    response.end(outcome.kind);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    outcomes,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
