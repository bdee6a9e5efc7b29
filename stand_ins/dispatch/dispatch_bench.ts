import { create } from "@bufbuild/protobuf";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import type { ConfigurationRecord } from "../../generated/snipepath/v1/records_pb.ts";
import { HttpEngineClient } from "../../source/backends/http_engine_client.ts";
import { HttpPlainClient } from "../../source/backends/http_plain_client.ts";
import {
  createDispatcher,
  type NodeDispatcher,
} from "../../source/dispatch/create_dispatcher.ts";
import type { CompletionWork, Work } from "../../source/dispatch/dispatcher.ts";
import type { RetryBudgetOptions } from "../../source/decisions/retry_budget.ts";
import type { ConfigurationView } from "../../source/membership/configuration_view.ts";
import type { NodeContext } from "../../source/context/node_context.ts";
import type {
  Cause,
  CauseLedger,
  LedgerEntry,
} from "../../source/observability/cause_ledger.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import type { Platform } from "../../source/platform/platform.ts";
import type { RoutingPolicyName } from "../../source/routing/routing_policy.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { StaticServerView } from "./static_server_view.ts";

/** Options of a dispatch bench. */
export interface DispatchBenchOptions {
  readonly seed?: number;
  readonly clock?: Clock;
  readonly silenceMilliseconds?: number;
  readonly failureDomain?: string;
  readonly policy?: RoutingPolicyName;
  readonly retryBudget?: RetryBudgetOptions;
}

/** A dispatcher with real HTTP clients and a backend server view set by the test. */
export interface DispatchBench {
  readonly dispatcher: NodeDispatcher;
  readonly servers: StaticServerView;
  readonly engines: HttpEngineClient;
  readonly context: NodeContext;
  /** Creates work with a deadline in 60 s and the given overrides. */
  work(given?: Partial<Work>): Work;
  /** Creates a completion with a deadline in 60 s and the given overrides. */
  completion(given?: Partial<CompletionWork>): CompletionWork;
  close(): Promise<void>;
}

const DEADLINE_MILLISECONDS = 60_000;

/**
 * Creates a dispatcher for tests and measurements.
 * @param options - Seed, clock, routing policy and limits; each has a default.
 * @example
 * ```ts
 * const bench = createDispatchBench({ seed: 1 });
 * await bench.dispatcher.runCompletion(bench.completion());
 * ```
 */
export function createDispatchBench(
  options: DispatchBenchOptions = {},
): DispatchBench {
  const context = createTestContext(options);
  const servers = new StaticServerView();
  const engines = new HttpEngineClient({ clock: context.clock });
  const plainServices = new HttpPlainClient({ clock: context.clock });
  const dispatcher = createDispatcher({
    context,
    servers,
    engines,
    plainServices,
    configuration: NO_CONFIGURATION,
    routingPolicy: options.policy ?? "leastOutstanding",
    ...(options.retryBudget === undefined
      ? {}
      : { retryBudget: options.retryBudget }),
  });
  const work = createWorkFactory(context);
  return {
    dispatcher,
    servers,
    engines,
    context,
    work,
    completion: (given = {}) => ({
      ...work(given),
      prompt: "one two three",
      maximumTokens: 8,
      minimumWeightVersion: 0,
      ...given,
    }),
    close: async () => {
      await engines.close();
      await plainServices.close();
    },
  };
}

/** A ledger entry that records the time added for each cause. */
export class RecordingLedgerEntry implements LedgerEntry {
  /** Total milliseconds by cause. */
  readonly causes: Partial<Record<Cause, number>> = {};

  /** Adds milliseconds to a cause. */
  add(cause: Cause, milliseconds: number): void {
    this.causes[cause] = (this.causes[cause] ?? 0) + milliseconds;
  }

  /** Does nothing. */
  close(): void {}
}

const NO_LEDGER: CauseLedger = {
  open: () => new RecordingLedgerEntry(),
  explain: () => ({ causes: {}, subjects: 0, targetsMissed: 0 }),
};

/** A configuration view without a revision. */
export const NO_CONFIGURATION: ConfigurationView = {
  current: (): ConfigurationRecord | undefined => undefined,
  adopt: (): void => {},
  watch: () => (): void => {},
};

/**
 * Creates a node context without a platform.
 * @param options - Seed, clock, failure domain, and silence timeout in milliseconds.
 * @example
 * ```ts
 * const context = createTestContext({ seed: 1 });
 * ```
 */
export function createTestContext(options: DispatchBenchOptions): NodeContext {
  return {
    settings: create(NodeSettingsSchema, {
      node: "node-1",
      failureDomain: options.failureDomain ?? "cluj-a",
      silenceMilliseconds: options.silenceMilliseconds ?? 5_000,
    }),
    nodeStart: "start-1",
    clock: options.clock ?? new SystemClock(),
    random: createRandomSource(options.seed ?? 1),
    log: new RecordingEventLog(),
    metrics: NO_METRICS,
    platform: {} as Platform,
    ledger: NO_LEDGER,
    stopping: new AbortController().signal,
  };
}

function createWorkFactory(
  context: NodeContext,
): (given?: Partial<Work>) => Work {
  let count = 0;
  return (given = {}) => {
    count += 1;
    return {
      requestIdentifier: `request-${count}`,
      service: "dot-models",
      classOfWork: "lookups",
      organisation: "school-3",
      deadline: context.clock.monotonic() + DEADLINE_MILLISECONDS,
      ledger: new RecordingLedgerEntry(),
      signal: new AbortController().signal,
      ...given,
    };
  };
}
