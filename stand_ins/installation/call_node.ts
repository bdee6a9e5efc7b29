import { request as sendRequest } from "node:http";
import type {
  InstallationNode,
  TestInstallation,
} from "./test_installation.ts";

/** A response whose body has been read. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Sends a caller's request to a node and reads the response. */
export function callNode(
  installation: TestInstallation,
  node: Pick<InstallationNode, "caller">,
  call: {
    readonly method: string;
    readonly path: string;
    readonly identifier?: string;
    readonly key?: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
  },
): Promise<CallerResponse> {
  const [host, port] = node.caller.split(":");
  return new Promise((resolve, reject) => {
    const request = sendRequest({
      host,
      port,
      method: call.method,
      path: call.path,
      agent: false,
      headers: {
        host: installation.host,
        "request-id": call.identifier ?? "q1",
        authorization: `Bearer ${call.key ?? installation.key}`,
        ...call.headers,
      },
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", reject);
      response.on("end", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        }));
    });
    request.on("error", reject);
    request.end(call.body ?? "");
  });
}
