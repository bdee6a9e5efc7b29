import { getHeader, type RawConnection, type RawScript } from "./raw_server.ts";

/** Name of a fault by which a raw server fails an exchange at a given point. */
export type RawFaultName = keyof typeof FAULTS;

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";
const SILENT = (): void => {};

/** A raw HTTP response split into parts. */
export interface RawResponse {
  /** Header lines with their line endings, without the empty line that ends the head. */
  readonly headers: string;
  readonly firstHalf: string;
  readonly secondHalf: string;
}

/** Builds the response to a raw request. */
export type RawResponseBuilder = (request: string) => RawResponse;

type ConnectionAction = (connection: RawConnection) => void;

const RESET: ConnectionAction = (connection) => connection.reset();
const CLOSE: ConnectionAction = (connection) => connection.end();

const FAULTS = {
  resetOnAccept: () => RESET,
  closeDuringHead: () => failWhen((text) => text.length > 0, CLOSE),
  resetDuringHead: () => failWhen((text) => text.length > 0, RESET),
  closeAfterHead: () => failWhen(hasHead, CLOSE),
  resetAfterHead: () => failWhen(hasHead, RESET),
  closeDuringBody: () => failWhen(hasBodyBytes, CLOSE),
  resetDuringBody: () => failWhen(hasBodyBytes, RESET),
  silentAfterHead: () => failWhen(hasHead, SILENT),
  closeBeforeStatus: (answer) => sendThenAct(answer, () => "", CLOSE),
  resetBeforeStatus: (answer) => sendThenAct(answer, () => "", RESET),
  silentBeforeStatus: (answer) => sendThenAct(answer, () => "", SILENT),
  closeDuringStatus: (answer) => sendThenAct(answer, () => "HTTP/1.1 2", CLOSE),
  closeAfterStatus: (answer) => sendThenAct(answer, () => STATUS_LINE, CLOSE),
  closeDuringHeaders: (answer) =>
    sendThenAct(answer, ({ headers }) => STATUS_LINE + headers, CLOSE),
  closeAfterHeaders: (answer) => sendThenAct(answer, formatHead, CLOSE),
  silentAfterHeaders: (answer) => sendThenAct(answer, formatHead, SILENT),
  closeMidStream: (answer) => sendThenAct(answer, formatFirstHalf, CLOSE),
  resetMidStream: (answer) => sendThenAct(answer, formatFirstHalf, RESET),
  silentMidStream: (answer) => sendThenAct(answer, formatFirstHalf, SILENT),
  closeBeforeEnd: (answer) =>
    sendThenAct(answer, formatWithoutLastChunk, CLOSE),
  noHttp: (answer) => sendThenAct(answer, () => "SSH-2.0-x\r\n\r\n", CLOSE),
  serverError: (answer) => sendThenAct(answer, () => SERVER_ERROR, CLOSE),
} satisfies Record<string, (answer: RawResponseBuilder) => RawScript>;

const SERVER_ERROR =
  "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\n{}";

/** Names of all raw faults. */
export const RAW_FAULT_NAMES = Object.keys(FAULTS) as ReadonlyArray<
  RawFaultName
>;

/**
 * Creates the script of a raw server that fails each exchange in the same way.
 * @param name - Name of the fault.
 * @param answer - Builds the response, of which the fault sends only a part.
 * @example
 * ```ts
 * const server = await startRawServer(createFaultScript("closeMidStream", answer));
 * ```
 */
export function createFaultScript(
  name: RawFaultName,
  answer: RawResponseBuilder,
): RawScript {
  return FAULTS[name](answer);
}

/**
 * Creates the script of a raw server that sends the whole response to each request.
 * @param answer - Builds the response.
 * @example
 * ```ts
 * const server = await startRawServer(createResponseScript(answer));
 * ```
 */
export function createResponseScript(answer: RawResponseBuilder): RawScript {
  return async (connection) => {
    for (;;) {
      const request = await connection.readRequest();
      if (request === undefined) return;
      connection.write(formatWhole(answer(request)));
    }
  };
}

/**
 * Creates the script of a raw server that fails the second exchange of each connection.
 * @param name - Name of the fault of the second exchange.
 * @param answer - Builds the responses.
 * @example
 * ```ts
 * const server = await startRawServer(createReuseFaultScript("closeDuringHead", answer));
 * ```
 */
export function createReuseFaultScript(
  name: RawFaultName,
  answer: RawResponseBuilder,
): RawScript {
  return async (connection) => {
    const request = await connection.readRequest();
    if (request === undefined) return;
    connection.write(formatWhole(answer(request)));
    await FAULTS[name](answer)(connection);
  };
}

/** Builds the response of a plain service, whose body is "hello world". */
export const buildPlainResponse: RawResponseBuilder = (request) => ({
  headers: `x-request-id: ${getHeader(request, "x-request-id")}\r\n` +
    "content-type: text/plain\r\ntransfer-encoding: chunked\r\n",
  firstHalf: "5\r\nhello\r\n",
  secondHalf: "6\r\n world\r\n0\r\n\r\n",
});

const ENGINE_TOKENS: ReadonlyArray<string> = ["a ", "b ", "c ", "d "];

/**
 * Creates a builder for the responses of an engine that generates the text "a b c d ".
 * @param weightVersion - Weight version that the responses name.
 * @example
 * ```ts
 * const server = await startRawServer(createResponseScript(createEngineResponseBuilder(7)));
 * ```
 */
export function createEngineResponseBuilder(
  weightVersion: number,
): RawResponseBuilder {
  return (request) => {
    const identifier = getHeader(request, "x-request-id");
    const remainingTokens = ENGINE_TOKENS.slice(countResumedTokens(request));
    const half = Math.floor(remainingTokens.length / 2);
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
          ...(last ? { usage: createUsage(remainingTokens.length) } : {}),
        })
      }\n\n`;
    };
    const rest = event(remainingTokens.slice(half), true) + "data: [DONE]\n\n";
    return {
      headers: `x-request-id: ${identifier}\r\nx-engine-start: start-1\r\n` +
        "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
      firstHalf: formatChunk(event(remainingTokens.slice(0, half), false)),
      secondHalf: formatChunk(rest) + "0\r\n\r\n",
    };
  };
}

function countResumedTokens(request: string): number {
  const body = request.slice(request.indexOf("\r\n\r\n") + 4);
  return JSON.parse(body)["resume_text"].length / 2;
}

function createUsage(tokens: number): Readonly<Record<string, number>> {
  return {
    ["prompt_tokens"]: 3,
    ["completion_tokens"]: tokens,
    ["cached_tokens"]: 0,
  };
}

function formatChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

function failWhen(
  condition: (received: string) => boolean,
  act: ConnectionAction,
): RawScript {
  return async (connection) => {
    await connection.waitUntil(condition);
    act(connection);
  };
}

function sendThenAct(
  answer: RawResponseBuilder,
  part: (answer: RawResponse) => string,
  act: ConnectionAction,
): RawScript {
  return async (connection) => {
    const request = await connection.readRequest();
    if (request === undefined) return;
    connection.write(part(answer(request)));
    act(connection);
  };
}

function hasHead(text: string): boolean {
  return text.includes("\r\n\r\n");
}

function hasBodyBytes(text: string): boolean {
  return text.length > text.indexOf("\r\n\r\n") + 4 && hasHead(text);
}

function formatHead({ headers }: RawResponse): string {
  return `${STATUS_LINE}${headers}\r\n`;
}

function formatFirstHalf(answer: RawResponse): string {
  return formatHead(answer) + answer.firstHalf;
}

function formatWhole(answer: RawResponse): string {
  return formatFirstHalf(answer) + answer.secondHalf;
}

function formatWithoutLastChunk(answer: RawResponse): string {
  return formatWhole(answer).slice(0, -"0\r\n\r\n".length);
}
