import type { BackendServerEntry } from "../../source/installation/backend_server_entry.ts";
import type {
  EngineReport,
  ServerAnswer,
  ServerClient,
  WeightOrderOutcome,
} from "../../source/backends/server_client.ts";
import type { ExchangeFailure } from "../../source/backends/http_exchange.ts";

const OPTIONS = {
  signal: new AbortController().signal,
  silenceMilliseconds: 1000,
};

/** A call of one kind to a server. */
export type ServerCall = (
  client: ServerClient,
  server: BackendServerEntry,
) => Promise<unknown>;

/** Sends a caller's request to a server. */
export function callRequest(
  client: ServerClient,
  server: BackendServerEntry,
): Promise<ServerAnswer | ExchangeFailure> {
  return client.open(server, {
    identifier: "q1",
    method: "POST",
    path: "/calls/x",
    host: "h",
    headers: {},
    body: Buffer.from("body"),
  }, OPTIONS);
}

/** Orders a server to load version 2 of model "m". */
export function callOrder(
  client: ServerClient,
  server: BackendServerEntry,
): Promise<WeightOrderOutcome> {
  return client.orderWeights(server, {
    model: "m",
    version: 2,
    runs: "continue",
    holder: "n1",
    fencingNumber: 1,
    acceptedOrders: 0,
  }, OPTIONS);
}

/** Reads a server's report. */
export function callReport(
  client: ServerClient,
  server: BackendServerEntry,
): Promise<EngineReport | undefined> {
  return client.readReport(server, OPTIONS);
}
