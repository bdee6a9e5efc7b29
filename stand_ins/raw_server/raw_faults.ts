import { headerOf, type RawConnection, type RawScript } from "./raw_server.ts";

/** Names of the moments at which a raw server fails an exchange. */
export type RawFaultName = keyof typeof FAULTS;

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";
const SILENT = (): void => {};

/** What a raw server answers with, cut into parts. */
export interface RawAnswer {
  /** Headers with their ends of line, without the empty line. */
  readonly headers: string;
  readonly firstHalf: string;
  readonly secondHalf: string;
}

/** Builds the answer to a raw request. */
export type RawAnswerBuilder = (request: string) => RawAnswer;

type Act = (connection: RawConnection) => void;

const RESET: Act = (connection) => connection.reset();
const CLOSE: Act = (connection) => connection.end();

const FAULTS = {
  resetOnAccept: () => RESET,
  closeDuringHead: () => failAt((text) => text.length > 0, CLOSE),
  resetDuringHead: () => failAt((text) => text.length > 0, RESET),
  closeAfterHead: () => failAt(hasHead, CLOSE),
  resetAfterHead: () => failAt(hasHead, RESET),
  closeDuringBody: () => failAt(hasPartOfBody, CLOSE),
  resetDuringBody: () => failAt(hasPartOfBody, RESET),
  silentAfterHead: () => failAt(hasHead, SILENT),
  closeBeforeStatus: (answer) => answerUpTo(answer, () => "", CLOSE),
  resetBeforeStatus: (answer) => answerUpTo(answer, () => "", RESET),
  silentBeforeStatus: (answer) => answerUpTo(answer, () => "", SILENT),
  closeDuringStatus: (answer) => answerUpTo(answer, () => "HTTP/1.1 2", CLOSE),
  closeAfterStatus: (answer) => answerUpTo(answer, () => STATUS_LINE, CLOSE),
  closeDuringHeaders: (answer) =>
    answerUpTo(answer, ({ headers }) => STATUS_LINE + headers, CLOSE),
  closeAfterHeaders: (answer) => answerUpTo(answer, headOf, CLOSE),
  silentAfterHeaders: (answer) => answerUpTo(answer, headOf, SILENT),
  closeMidStream: (answer) => answerUpTo(answer, halfOf, CLOSE),
  resetMidStream: (answer) => answerUpTo(answer, halfOf, RESET),
  silentMidStream: (answer) => answerUpTo(answer, halfOf, SILENT),
  closeBeforeEnd: (answer) => answerUpTo(answer, allButEndOf, CLOSE),
  noHttp: (answer) => answerUpTo(answer, () => "SSH-2.0-x\r\n\r\n", CLOSE),
  serverError: (answer) => answerUpTo(answer, () => SERVER_ERROR, CLOSE),
} satisfies Record<string, (answer: RawAnswerBuilder) => RawScript>;

const SERVER_ERROR =
  "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\n{}";

/** All raw faults. */
export const RAW_FAULT_NAMES = Object.keys(FAULTS) as ReadonlyArray<
  RawFaultName
>;

/**
 * Returns the script of a raw server that fails each exchange at one moment.
 * @param name - The moment.
 * @param answer - Builds the answer that is cut.
 * @example
 * ```ts
 * const server = await startRawServer(rawFault("closeMidStream", answer));
 * ```
 */
export function rawFault(
  name: RawFaultName,
  answer: RawAnswerBuilder,
): RawScript {
  return FAULTS[name](answer);
}

/**
 * Returns the script of a raw server that answers each request whole.
 * @param answer - Builds the answer.
 * @example
 * ```ts
 * const server = await startRawServer(rawAnswers(answer));
 * ```
 */
export function rawAnswers(answer: RawAnswerBuilder): RawScript {
  return async (connection) => {
    for (;;) {
      const request = await connection.request();
      if (request === undefined) return;
      connection.write(wholeOf(answer(request)));
    }
  };
}

/**
 * Returns the script of a raw server that answers once on each connection and then fails.
 * @param name - How the second exchange of a connection fails.
 * @param answer - Builds the answers.
 * @example
 * ```ts
 * const server = await startRawServer(rawFaultOnReuse("closeDuringHead", answer));
 * ```
 */
export function rawFaultOnReuse(
  name: RawFaultName,
  answer: RawAnswerBuilder,
): RawScript {
  return async (connection) => {
    const request = await connection.request();
    if (request === undefined) return;
    connection.write(wholeOf(answer(request)));
    await FAULTS[name](answer)(connection);
  };
}

/** Answer of a plain service. */
export const plainAnswer: RawAnswerBuilder = (request) => ({
  headers: `x-request-id: ${headerOf(request, "x-request-id")}\r\n` +
    "content-type: text/plain\r\ntransfer-encoding: chunked\r\n",
  firstHalf: "5\r\nhello\r\n",
  secondHalf: "6\r\n world\r\n0\r\n\r\n",
});

const ENGINE_TOKENS: ReadonlyArray<string> = ["a ", "b ", "c ", "d "];

/**
 * Returns the answers of an engine that generates the text "a b c d ".
 * @param weightVersion - The version that generates.
 * @example
 * ```ts
 * const server = await startRawServer(rawAnswers(engineAnswer(7)));
 * ```
 */
export function engineAnswer(weightVersion: number): RawAnswerBuilder {
  return (request) => {
    const identifier = headerOf(request, "x-request-id");
    const left = ENGINE_TOKENS.slice(countResumed(request));
    const half = Math.floor(left.length / 2);
    const event = (tokens: ReadonlyArray<string>, last: boolean): string => {
      const choice = {
        index: 0,
        text: tokens.join(""),
        ["finish_reason"]: last ? "length" : null,
      };
      return `data: ${
        JSON.stringify({
          ["request_id"]: identifier,
          ["weight_version"]: weightVersion,
          tokens: tokens.length,
          choices: [choice],
          ...(last ? { usage: usageOf(left.length) } : {}),
        })
      }\n\n`;
    };
    const rest = event(left.slice(half), true) + "data: [DONE]\n\n";
    return {
      headers: `x-request-id: ${identifier}\r\nx-engine-start: start-1\r\n` +
        "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
      firstHalf: toChunk(event(left.slice(0, half), false)),
      secondHalf: toChunk(rest) + "0\r\n\r\n",
    };
  };
}

function countResumed(request: string): number {
  const body = request.slice(request.indexOf("\r\n\r\n") + 4);
  return JSON.parse(body)["resume_text"].length / 2;
}

function usageOf(tokens: number): Readonly<Record<string, number>> {
  return {
    ["prompt_tokens"]: 3,
    ["completion_tokens"]: tokens,
    ["cached_tokens"]: 0,
  };
}

function toChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

function failAt(condition: (received: string) => boolean, act: Act): RawScript {
  return async (connection) => {
    await connection.until(condition);
    act(connection);
  };
}

function answerUpTo(
  answer: RawAnswerBuilder,
  part: (answer: RawAnswer) => string,
  act: Act,
): RawScript {
  return async (connection) => {
    const request = await connection.request();
    if (request === undefined) return;
    connection.write(part(answer(request)));
    act(connection);
  };
}

function hasHead(text: string): boolean {
  return text.includes("\r\n\r\n");
}

function hasPartOfBody(text: string): boolean {
  return text.length > text.indexOf("\r\n\r\n") + 4 && hasHead(text);
}

function headOf({ headers }: RawAnswer): string {
  return `${STATUS_LINE}${headers}\r\n`;
}

function halfOf(answer: RawAnswer): string {
  return headOf(answer) + answer.firstHalf;
}

function wholeOf(answer: RawAnswer): string {
  return halfOf(answer) + answer.secondHalf;
}

function allButEndOf(answer: RawAnswer): string {
  return wholeOf(answer).slice(0, -"0\r\n\r\n".length);
}
