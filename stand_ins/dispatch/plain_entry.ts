import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type {
  PlainOutcome,
  PlainWork,
} from "../../source/dispatch/dispatcher.ts";
import type { DispatchBench } from "./dispatch_bench.ts";

/** Entry that gives every call to a dispatcher. */
export interface PlainEntry {
  /** HOST:PORT. */
  readonly address: string;
  /** Outcomes in the order in which calls ended. */
  readonly outcomes: ReadonlyArray<PlainOutcome>;
  close(): Promise<void>;
}

const REFUSED_STATUS = 599;

/**
 * Starts an entry that gives every call to a bench's dispatcher; refusals have status 599.
 * @param bench - The bench.
 * @param given - What differs from the bench's work.
 * @example
 * ```ts
 * const entry = await startPlainEntry(bench, { repeatable: false });
 * ```
 */
export async function startPlainEntry(
  bench: DispatchBench,
  given: Partial<PlainWork> = {},
): Promise<PlainEntry> {
  const outcomes: PlainOutcome[] = [];
  const server = createServer(async (request, response) => {
    const outcome = await bench.dispatcher.runPlain({
      ...bench.work({ service: "comenzi-app" }),
      path: request.url ?? "/",
      repeatable: true,
      request,
      response,
      ...given,
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
