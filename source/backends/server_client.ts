import type { IncomingHttpHeaders } from "node:http";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ExchangeOptions } from "./engine_client.ts";
import type { ExchangeFailure } from "./http_exchange.ts";

/** A request as a backend server gets it. */
export interface ServerRequest {
  /** Identifier that the caller gave. */
  readonly identifier: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  /** Headers of the caller that the server may see. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Organisation that the caller's key belongs to; absent for a request without a key. */
  readonly organisation?: string;
  /** How long the answer is waited for. */
  readonly budgetMilliseconds?: number;
  /** Whether the engine should take it before others that wait there. */
  readonly isUrgent?: boolean;
  /** Stream events up to this one are known already. */
  readonly afterEvent?: number;
}

/** An answer of a backend server whose head has come. */
export interface ServerAnswer {
  readonly kind: "answered";
  readonly status: number;
  /** Headers for the caller. */
  readonly headers: IncomingHttpHeaders;
  /** Proof that the server made the answer; undefined when it bears none. */
  readonly signature: string | undefined;
  /** Version of the weights at the answer's start. */
  readonly weightVersion: number | undefined;
  /** Chunks of the body; ends with an error when the answer is cut. */
  readonly body: AsyncIterable<Buffer>;
  /** Cuts the connection unless the answer was read to its end. */
  readonly abandon: () => void;
}

/** One event of a generated text. */
export interface TextEvent {
  readonly number: number;
  readonly text: string;
  /** Version of the weights that made this event and the next ones; undefined when it did not change. */
  readonly weightVersion: number | undefined;
}

/** An order to an engine to load a version of a model's weights. */
export interface WeightOrder {
  readonly model: string;
  readonly version: number;
  /** `finish`: runs end first. `continue`: runs go on under the new version. */
  readonly runs: "finish" | "continue";
  readonly holder: string;
  readonly fencingNumber: number;
  /** Number of orders that the engine must have accepted before. */
  readonly acceptedOrders: number;
}

/** What became of a weight order. */
export type WeightOrderOutcome =
  /** The engine carries it out, or already has the version. */
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly status: number }
  | { readonly kind: "notRun" | "unknown"; readonly reason: string };

/** What an engine reports of itself. */
export interface EngineReport {
  readonly weightVersions: ReadonlyMap<string, number>;
  readonly acceptedOrders: number;
  /** Whether an order is being carried out. */
  readonly isBusy: boolean;
  readonly waiting: number;
  readonly running: number;
}

/** Calls to backend servers. Each call is for one server and reaches no other. */
export interface ServerClient {
  /** Sends a request and waits for the answer's head; `notRun` only if the server did not run it. */
  open(
    server: BackendServerEntry,
    request: ServerRequest,
    options: ExchangeOptions,
  ): Promise<ServerAnswer | ExchangeFailure>;
  /** Whether a request could be sent without opening a connection. */
  isConnected(server: BackendServerEntry): boolean;
  /** Reads whole events of a generated text; throws when the body ends early. */
  readEvents(body: AsyncIterable<Buffer>): AsyncGenerator<TextEvent>;
  /** Orders an engine to load weights. */
  order(
    server: BackendServerEntry,
    order: WeightOrder,
    options: ExchangeOptions,
  ): Promise<WeightOrderOutcome>;
  /** Reads an engine's report; undefined when it did not answer. */
  report(
    server: BackendServerEntry,
    options: ExchangeOptions,
  ): Promise<EngineReport | undefined>;
}
