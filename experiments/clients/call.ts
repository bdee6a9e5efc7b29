import { request } from "undici";

const DEFAULT_TIMEOUT_MILLISECONDS = 20_000;

/** Request to a node. */
export interface CallOptions {
  readonly address: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly key?: string | undefined;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMilliseconds?: number;
}

/** Response of a node, or the reason why there is none. */
export type CallOutcome =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly text: string;
    readonly headers: Readonly<Record<string, unknown>>;
  }
  | { readonly kind: "lost"; readonly reason: string };

/**
 * Makes one call and reads the complete response.
 * @param options - Request to send.
 * @example
 * ```ts
 * const outcome = await call({ address, method: "GET", path: "/orders/status/7" });
 * ```
 */
export async function call(options: CallOptions): Promise<CallOutcome> {
  const headers: Record<string, string> = { ...options.headers };
  if (options.key !== undefined) {
    headers["authorization"] = `Bearer ${options.key}`;
  }
  if (options.body !== undefined) headers["content-type"] = "application/json";
  const timeout = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
  try {
    const answer = await request(`http://${options.address}${options.path}`, {
      method: options.method,
      headers,
      body: options.body === undefined ? null : JSON.stringify(options.body),
      signal: AbortSignal.timeout(timeout),
    });
    const text = await answer.body.text();
    return {
      kind: "answer",
      status: answer.statusCode,
      text,
      headers: answer.headers,
    };
  } catch (error) {
    return { kind: "lost", reason: String(error) };
  }
}
