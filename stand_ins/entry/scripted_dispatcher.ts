import { Buffer } from "node:buffer";
import type {
  CompletionOutcome,
  CompletionWork,
  Dispatcher,
  DispatchRefusal,
  PlainOutcome,
  PlainWork,
} from "../../source/dispatch/dispatcher.ts";

/** A plain call as a backend server would receive it. */
export interface ReceivedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: string;
  readonly body: string;
  readonly organisation: string;
}

/** A dispatcher without backend servers, for tests of the components that call it. */
export class ScriptedDispatcher implements Dispatcher {
  /** Completions that were dispatched, in order. */
  readonly completions: CompletionWork[] = [];
  /** Plain calls whose whole body was read, in order. */
  readonly calls: ReceivedCall[] = [];
  /** Everything that a backend server would have received: prompts, paths, headers and bodies. */
  receivedContent = "";
  /** Refusal returned for each completion and call; if undefined, they are answered. */
  refusal: DispatchRefusal | undefined;
  /** Awaited between the first and the second half of each response. */
  beforeSecondHalf: (signal: AbortSignal) => Promise<void> = () =>
    Promise.resolve();

  /** Responds with the prompt from weight version 7, then with "!" from weight version 8. */
  async runCompletion(work: CompletionWork): Promise<CompletionOutcome> {
    this.completions.push(work);
    this.receivedContent += work.prompt;
    if (this.refusal !== undefined) return this.refusal;
    work.onTokens?.({ text: work.prompt, tokens: 1, weightVersion: 7 });
    await this.beforeSecondHalf(work.signal);
    if (work.signal.aborted) return CANCELLED;
    work.onTokens?.({ text: "!", tokens: 1, weightVersion: 8 });
    return {
      kind: "finished",
      text: `${work.prompt}!`,
      stretches: [
        { weightVersion: 7, tokens: 1 },
        { weightVersion: 8, tokens: 1 },
      ],
      finishReason: "length",
      usage: { promptTokens: 3, generatedTokens: 2, cachedTokens: 0 },
      server: "127.0.0.1:1",
      serverStart: "start-1",
    };
  }

  /** Responds to a plain call with the body of its request. */
  async runPlain(work: PlainWork): Promise<PlainOutcome> {
    if (this.refusal !== undefined) return this.refusal;
    const { request, response } = work;
    const headers = JSON.stringify([request.headers, request.rawHeaders]);
    this.receivedContent += work.path + headers;
    const chunks: Buffer[] = [];
    const isWhole = await new Promise<boolean>((resolve) => {
      request.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        this.receivedContent += chunk.toString("latin1");
      });
      request.on("end", () => resolve(true));
      request.on("close", () => resolve(false));
      work.signal.addEventListener("abort", () => resolve(false));
    });
    if (!isWhole || work.signal.aborted) return CANCELLED;
    const body = Buffer.concat(chunks);
    this.calls.push({
      method: request.method ?? "",
      path: work.path,
      headers,
      body: body.toString("latin1"),
      organisation: work.organisation,
    });
    response.setHeader("x-served-by", "scripted");
    response.write(body);
    await this.beforeSecondHalf(work.signal);
    if (work.signal.aborted) return { kind: "cut", detail: "Cancelled" };
    response.end();
    return { kind: "finished", status: 200, server: "127.0.0.1:2" };
  }
}

const CANCELLED: DispatchRefusal = {
  kind: "unknown",
  reason: "cancelled",
  detail: "The work was cancelled",
  retryAfterMilliseconds: 0,
};
