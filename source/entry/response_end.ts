import type { ServerResponse } from "node:http";

/**
 * Waits until an answer has been handed to the kernel or its connection has gone.
 * @param response - The response.
 * @example
 * ```ts
 * await waitForEnd(response);
 * ```
 */
export function waitForEnd(response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    response.once("finish", resolve);
    response.once("close", resolve);
  });
}
