import type { ExchangeFailure } from "../../source/backends/http_exchange.ts";
import type {
  EngineReport,
  ServerAnswer,
  ServerClient,
  ServerProcessState,
  ServerRequest,
  TextEvent,
  WeightOrderOutcome,
} from "../../source/backends/server_client.ts";
import type { BackendServerEntry } from "../../source/installation/backend_server_entry.ts";

/** The scripted response of a server to a request, or the failure of the request. */
export type ScriptedResponse =
  | {
    readonly status: number;
    readonly body?: string;
    /** Time until the response head; 0 if absent. */
    readonly afterMilliseconds?: number;
    /** Whether reading the body fails after its content. */
    readonly isCut?: boolean;
    readonly isUnsigned?: boolean;
    /** Weight version in the response head; 1 if absent, omitted if "none". */
    readonly weightVersion?: number | "none";
    /** Events that the response contains instead of `body`. */
    readonly events?: ReadonlyArray<TextEvent>;
  }
  | {
    readonly kind: "notRun" | "unknown";
    /** Whether the cause of the failure is `refused` instead of `connect`. */
    readonly isRefused?: boolean;
  };

/** A server client that uses no network and returns responses scripted by a test. */
export class ScriptedServerClient implements ServerClient {
  readonly #respond: (
    server: BackendServerEntry,
    request: ServerRequest,
  ) => ScriptedResponse;
  /** Identifiers of the servers that requests were sent to, in order. */
  readonly requestedServers: string[] = [];
  /** Identifiers of the servers whose requests were cancelled, in order. */
  readonly cancelledServers: string[] = [];
  /** Identifiers of the servers whose process has ended. */
  readonly endedServers = new Set<string>();

  /** @param respond - Returns the scripted response of a server to a request. */
  constructor(
    respond: (
      server: BackendServerEntry,
      request: ServerRequest,
    ) => ScriptedResponse,
  ) {
    this.#respond = respond;
  }

  /** Registers nothing, since no scripted server leaves. */
  watchLeaving(): void {}

  /** Registers nothing, since no scripted server names a limit. */
  watchLimits(): void {}

  /** Registers nothing, since no scripted server is in warm-up. */
  watchWarmUps(): void {}

  /** Returns the scripted response after its delay. */
  async open(
    server: BackendServerEntry,
    request: ServerRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<ServerAnswer | ExchangeFailure> {
    this.requestedServers.push(server.identifier);
    const response = this.#respond(server, request);
    if ("kind" in response) {
      const cause = response.isRefused === true ? "refused" : "connect";
      return { kind: response.kind, reason: "scripted", cause };
    }
    const isElapsed = await waitUnlessAborted(
      response.afterMilliseconds ?? 0,
      options.signal,
    );
    if (!isElapsed) {
      this.cancelledServers.push(server.identifier);
      return { kind: "unknown", reason: "Cancelled", cause: "cancelled" };
    }
    return {
      kind: "answered",
      status: response.status,
      headers: {},
      signature: response.isUnsigned === true ? undefined : "signed",
      weightVersion: response.weightVersion === "none"
        ? undefined
        : response.weightVersion ?? 1,
      body: createBody(
        response.events === undefined
          ? response.body ?? ""
          : response.events.map((event) => JSON.stringify(event)).join("\n"),
        response.isCut ?? false,
      ),
      abandon: () => {},
    };
  }

  /** Registers nothing; tests record failures themselves. */
  watchFailures(): void {}

  /** Returns the state that the test has set for the server; running if it set none. */
  checkProcess(server: BackendServerEntry): Promise<ServerProcessState> {
    return Promise.resolve(
      this.endedServers.has(server.identifier) ? "refused" : "running",
    );
  }

  /** Returns false, since there are no connections. */
  isConnected(): boolean {
    return false;
  }

  /** Reads the events of a scripted response. */
  async *readEvents(body: AsyncIterable<Buffer>): AsyncGenerator<TextEvent> {
    for await (const chunk of body) {
      const lines = chunk.toString().split("\n").filter((line) => line !== "");
      yield* lines.map((line) => JSON.parse(line) as TextEvent);
    }
  }

  /** Refuses every order with status 400. */
  orderWeights(): Promise<WeightOrderOutcome> {
    return Promise.resolve({ kind: "refused", status: 400 });
  }

  /** Returns no report. */
  readReport(): Promise<EngineReport | undefined> {
    return Promise.resolve(undefined);
  }
}

async function* createBody(
  text: string,
  isCut: boolean,
): AsyncGenerator<Buffer> {
  yield Buffer.from(text);
  if (isCut) throw new Error("The connection was cut");
}

function waitUnlessAborted(
  milliseconds: number,
  signal: AbortSignal,
): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(true), milliseconds);
    signal.addEventListener("abort", () => {
      clearTimeout(timer);
      resolve(false);
    }, { once: true });
  });
}
