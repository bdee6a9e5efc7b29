import { request as sendRequest } from "node:http";
import type {
  InstallationNode,
  TestInstallation,
} from "./test_installation.ts";

/** What a caller has read of a stream. */
export interface ReadStream {
  readonly status: number;
  /** Number of the last complete event; 0 before the first. */
  readonly lastEvent: number;
  /** Data of the complete events. */
  readonly parts: ReadonlyArray<string>;
}

/**
 * Reads a stream to its end, or disconnects after a number of events.
 * @param installation - The host and key of the request.
 * @param node - The node that is called.
 * @param call - The request's identifier, its other headers, and the number of events to read.
 */
export function readStream(
  installation: TestInstallation,
  node: Pick<InstallationNode, "caller">,
  call: {
    readonly identifier: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly maximumEvents?: number;
  },
): Promise<ReadStream> {
  const [host, port] = node.caller.split(":");
  return new Promise((resolve) => {
    let text = "";
    let status = 0;
    const finish = (): void => resolve({ status, ...parseEvents(text) });
    const request = sendRequest({
      host,
      port,
      method: "POST",
      path: "/streams/x",
      agent: false,
      headers: {
        host: installation.host,
        "request-id": call.identifier,
        authorization: `Bearer ${installation.key}`,
        model: "model-a",
        ...call.headers,
      },
    }, (response) => {
      status = response.statusCode ?? 0;
      response.on("data", (chunk: Buffer) => {
        text += chunk.toString();
        const events = parseEvents(text).parts.length;
        if (events < (call.maximumEvents ?? Infinity)) return;
        finish();
        response.destroy();
      });
      response.on("error", finish);
      response.on("end", finish);
      response.on("close", finish);
    });
    request.on("error", finish);
    request.end("");
  });
}

function parseEvents(text: string): Omit<ReadStream, "status"> {
  const events = text.split("\n\n").slice(0, -1);
  const last = /^id: (\d+)/.exec(events.at(-1) ?? "")?.[1];
  return {
    lastEvent: Number(last ?? 0),
    parts: events.map((event) => event.replace(/^id: \d+\ndata: /, "")),
  };
}
