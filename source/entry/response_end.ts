import type { ServerResponse } from "node:http";

/**
 * Waits until a response has been handed over to the operating system or its connection has closed.
 * @param response - The response.
 * @example
 * ```ts
 * await waitForResponseEnd(response);
 * ```
 */
export function waitForResponseEnd(response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    response.once("finish", resolve);
    response.once("close", resolve);
  });
}
