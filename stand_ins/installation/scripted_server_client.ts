import type { ExchangeFailure } from "../../source/backends/http_exchange.ts";
import type {
  EngineReport,
  ServerAnswer,
  ServerClient,
  ServerRequest,
  TextEvent,
  WeightOrderOutcome,
} from "../../source/backends/server_client.ts";
import type { BackendServerEntry } from "../../source/installation/backend_server_entry.ts";

/** How a scripted server treats one request. */
export type ScriptedAnswer =
  | {
    readonly status: number;
    readonly body?: string;
    /** Time until the head of the answer. */
    readonly afterMilliseconds?: number;
    /** Whether the body breaks off before its end. */
    readonly isCut?: boolean;
    readonly isUnsigned?: boolean;
    /** Weight version that the head of the answer names; 1 when absent, none when "none". */
    readonly weightVersion?: number | "none";
    /** Events of the answer, instead of a body. */
    readonly events?: ReadonlyArray<TextEvent>;
  }
  | { readonly kind: "notRun" | "unknown"; readonly isFull?: boolean };

/** Answers requests as a test says, without a network. */
export class ScriptedServerClient implements ServerClient {
  readonly #answer: (
    server: BackendServerEntry,
    request: ServerRequest,
  ) => ScriptedAnswer;
  /** Names of the servers that requests were sent to, in order. */
  readonly sent: string[] = [];
  /** Names of the servers whose requests were cancelled. */
  readonly cancelled: string[] = [];

  /** @param answer - Tells how a server treats a request. */
  constructor(
    answer: (
      server: BackendServerEntry,
      request: ServerRequest,
    ) => ScriptedAnswer,
  ) {
    this.#answer = answer;
  }

  /** Answers as scripted. */
  async open(
    server: BackendServerEntry,
    request: ServerRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<ServerAnswer | ExchangeFailure> {
    this.sent.push(server.identifier);
    const answer = this.#answer(server, request);
    if ("kind" in answer) {
      const cause = answer.isFull === true ? "refused" : "connect";
      return { kind: answer.kind, reason: "scripted", cause };
    }
    const isDone = await waitOrAbort(
      answer.afterMilliseconds ?? 0,
      options.signal,
    );
    if (!isDone) {
      this.cancelled.push(server.identifier);
      return { kind: "unknown", reason: "Cancelled", cause: "cancelled" };
    }
    return {
      kind: "answered",
      status: answer.status,
      headers: {},
      signature: answer.isUnsigned === true ? undefined : "signed",
      weightVersion: answer.weightVersion === "none"
        ? undefined
        : answer.weightVersion ?? 1,
      body: createBody(
        answer.events === undefined
          ? answer.body ?? ""
          : answer.events.map((event) => JSON.stringify(event)).join("\n"),
        answer.isCut ?? false,
      ),
      abandon: () => {},
    };
  }

  /** Knows no connections. */
  isConnected(): boolean {
    return false;
  }

  /** Reads the events of a scripted answer. */
  async *readEvents(body: AsyncIterable<Buffer>): AsyncGenerator<TextEvent> {
    for await (const chunk of body) {
      const lines = chunk.toString().split("\n").filter((line) => line !== "");
      yield* lines.map((line) => JSON.parse(line) as TextEvent);
    }
  }

  /** Refuses every order. */
  order(): Promise<WeightOrderOutcome> {
    return Promise.resolve({ kind: "refused", status: 400 });
  }

  /** Reports nothing. */
  report(): Promise<EngineReport | undefined> {
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

function waitOrAbort(
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
