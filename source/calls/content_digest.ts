import { createHash } from "node:crypto";
import type { ServerRequest } from "../backends/server_client.ts";

/** The parts of a request that are the same each time its caller sends it. */
export type RequestContent = Pick<
  ServerRequest,
  "organisation" | "host" | "method" | "path" | "body"
>;

/**
 * Returns a digest that is the same for all requests with the same caller, path and body, as text of
 * 22 characters.
 */
export function toContentDigest(
  { organisation, host, method, path, body }: RequestContent,
): string {
  return createHash("sha256")
    .update(JSON.stringify([organisation ?? "", host, method, path]))
    .update(body)
    .digest()
    .subarray(0, 16)
    .toString("base64url");
}
