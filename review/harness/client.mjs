// deno-lint-ignore-file explicit-function-return-type
import { request as sendRequest } from "node:http";
import { HOST, KEY } from "./settings.mjs";

/**
 * Sends one request on a new channel and reads its whole answer.
 * @returns The status, headers and body; `ended` is false when the channel broke off before the end.
 */
export function call(address, options) {
  const { method = "POST", path, body = "", headers = {} } = options;
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const answer = { status: 0, headers: {}, body: "", ended: false };
    const finish = () => resolve(answer);
    const request = sendRequest({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        host: HOST,
        authorization: `Bearer ${KEY}`,
        ...(options.identifier === undefined
          ? {}
          : { "request-id": options.identifier }),
        ...headers,
        "content-length": Buffer.byteLength(body),
      },
    });
    const timer = setTimeout(
      () => request.destroy(),
      options.milliseconds ?? 5000,
    );
    request.on("error", finish);
    request.on("response", (response) => {
      answer.status = response.statusCode;
      answer.headers = response.headers;
      response.on("data", (chunk) => {
        answer.body += chunk;
        options.onData?.(String(chunk));
      });
      response.on("error", () => {});
      response.on("close", () => {
        clearTimeout(timer);
        answer.ended = response.complete;
        finish();
      });
    });
    request.on("close", () => clearTimeout(timer));
    request.end(body);
  });
}

/** Waits. */
export function sleep(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Waits until a condition holds; returns whether it did within the time. */
export async function waitUntil(condition, milliseconds) {
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    if (await condition()) return true;
    await sleep(20);
  }
  return false;
}
