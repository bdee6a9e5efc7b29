import type { RequestLimit } from "./request_limit.ts";
import { type StartedServer, startHttpServer } from "./start_http_server.ts";

/** A running server of the plain service. */
export interface PlainServer extends StartedServer {
  readonly identifier: string;
  readonly failureDomain: string;
  /** Identifiers of the requests received, without health checks. */
  readonly received: ReadonlyArray<string>;
  /** What happens to further requests; health checks are always answered. */
  behaviour: "serves" | "fails" | "hangs";
}

/** Starts a server of the plain service, which serves its requests and signs its responses. */
export async function startPlainServer(
  options: Pick<PlainServer, "identifier" | "failureDomain">,
  limit: RequestLimit,
): Promise<PlainServer> {
  const received: string[] = [];
  const state: Pick<PlainServer, "behaviour"> = { behaviour: "serves" };
  const server = await startHttpServer((request, response, body) => {
    if (!limit.admit(request, response)) return;
    const identifier = String(request.headers["request-id"]);
    const isCheck = request.url === "/health";
    if (!isCheck) received.push(identifier);
    if (!isCheck && state.behaviour === "hangs") return;
    response.writeHead(!isCheck && state.behaviour === "fails" ? 500 : 200, {
      "request-id": identifier,
      "server-stamp": "signed by the plain service",
    }).end(`served ${request.headers["tenant"] ?? "nobody"} ${body}`);
  });
  return Object.assign(state, { ...server, ...options, received });
}
