import type { NodeDispatcher } from "../../source/dispatch/create_dispatcher.ts";
import type {
  CompletionOutcome,
  CompletionWork,
} from "../../source/dispatch/dispatcher.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import type { RandomSource } from "../../source/utilities/random_source.ts";
import { RecordingLedgerEntry } from "../../stand_ins/dispatch/dispatch_bench.ts";
import type {
  DispatcherResult,
  LoadOptions,
  SecondCounts,
} from "./messages.ts";

const PROMPTS_PER_ORGANISATION = 2;
const LARGE_SHARE = 0.5;
const TAIL_CHARACTERS = 160;

/** Dispatchers, load and dependencies of a load generator. */
export interface LoadGeneratorOptions {
  readonly dispatchers: ReadonlyArray<NodeDispatcher>;
  readonly load: LoadOptions;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly name: string;
}

/** Sends requests at their scheduled times, independently of earlier responses (open loop). */
export class LoadGenerator {
  readonly #options: LoadGeneratorOptions;
  readonly #latencies: number[] = [];
  readonly #refusals: Record<string, number> = {};
  readonly #seconds: SecondCounts[] = [];
  #sent = 0;
  #arrived = 0;
  #attempts = 0;
  #inTime = 0;
  #cachedTokens = 0;
  #promptTokens = 0;

  /** @param options - Dispatchers, load and dependencies. */
  constructor(options: LoadGeneratorOptions) {
    this.#options = options;
  }

  /** Sends all requests and waits until they end. */
  async run(): Promise<DispatcherResult> {
    const { clock, random, load } = this.#options;
    const startedAt = clock.monotonic();
    const running: Promise<void>[] = [];
    let due = 0;
    for (;;) {
      due += -Math.log(1 - random.next()) * 1000 / load.requestsPerSecond;
      if (due > load.durationMilliseconds) break;
      const wait = startedAt + due - clock.monotonic();
      if (wait > 1) await clock.sleep(wait);
      running.push(this.#send(startedAt + due, due));
    }
    await Promise.all(running);
    return this.#createResult();
  }

  async #send(dueAt: number, sinceStart: number): Promise<void> {
    const { clock, random, dispatchers, load } = this.#options;
    const dispatcher = dispatchers[random.nextBelow(dispatchers.length)]!;
    let attempts = 0;
    const outcome = await dispatcher.runCompletion({
      ...this.#createWork(dueAt),
      onServer: () => attempts += 1,
    });
    const latency = clock.monotonic() - dueAt;
    if (sinceStart >= load.warmupMilliseconds) {
      this.#attempts += attempts;
      this.#record(outcome, latency);
      this.#recordSecond(sinceStart, outcome, latency);
    }
  }

  #createWork(dueAt: number): CompletionWork {
    const { random, load, name } = this.#options;
    this.#sent += 1;
    const organisation = this.#pickOrganisation();
    const tokens = load.minimumTokens +
      random.nextBelow(load.maximumTokens - load.minimumTokens + 1);
    return {
      requestIdentifier: `${name}-${this.#sent}`,
      service: "dot-models",
      classOfWork: "lookups",
      organisation,
      deadline: dueAt + load.deadlineMilliseconds,
      ledger: new RecordingLedgerEntry(),
      signal: new AbortController().signal,
      prompt: this.#createPrompt(organisation),
      maximumTokens: tokens,
      minimumWeightVersion: 0,
    };
  }

  #pickOrganisation(): string {
    const { random, load } = this.#options;
    if (random.next() < LARGE_SHARE) return `school-${random.nextBelow(2)}`;
    return `school-${random.nextBelow(load.organisations)}`;
  }

  #createPrompt(organisation: string): string {
    const { random, load } = this.#options;
    const shared = random.nextBelow(PROMPTS_PER_ORGANISATION);
    const head = `${organisation} prompt ${shared} `;
    const body = head.padEnd(load.sharedPromptCharacters, head);
    const tail = `${random.next()} `;
    return body + tail.padEnd(TAIL_CHARACTERS, tail);
  }

  #record(outcome: CompletionOutcome, latency: number): void {
    this.#arrived += 1;
    if (outcome.kind !== "finished") {
      const name = `${outcome.kind} ${outcome.reason}`;
      this.#refusals[name] = (this.#refusals[name] ?? 0) + 1;
      return;
    }
    this.#latencies.push(latency);
    this.#cachedTokens += outcome.usage.cachedTokens;
    this.#promptTokens += outcome.usage.promptTokens;
    if (latency <= this.#options.load.deadlineMilliseconds) this.#inTime += 1;
  }

  #recordSecond(
    sinceStart: number,
    outcome: CompletionOutcome,
    latency: number,
  ): void {
    const second = Math.floor(sinceStart / 1000);
    while (this.#seconds.length <= second) {
      this.#seconds.push({ arrived: 0, inTime: 0 });
    }
    const counts = this.#seconds[second]!;
    counts.arrived += 1;
    const { deadlineMilliseconds } = this.#options.load;
    if (outcome.kind !== "finished" || latency > deadlineMilliseconds) return;
    counts.inTime += 1;
  }

  #createResult(): DispatcherResult {
    return {
      latencies: this.#latencies,
      arrived: this.#arrived,
      finished: this.#latencies.length,
      attempts: this.#attempts,
      inTime: this.#inTime,
      refusals: this.#refusals,
      cachedTokens: this.#cachedTokens,
      promptTokens: this.#promptTokens,
      seconds: this.#seconds,
    };
  }
}
