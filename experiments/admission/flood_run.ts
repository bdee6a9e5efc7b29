import type { NodeAdmission } from "../../source/admission/node_admission.ts";
import type { AdmissionPolicyName } from "../../source/admission/policies/policy_table.ts";
import { ManualClock } from "../../source/utilities/manual_clock.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";
import { createAdmissionBench } from "../../stand_ins/entry/admission_bench.ts";
import { EngineGroup } from "./engine_group.ts";
import { OrganisationMeasure } from "./organisation_measure.ts";

const NODES = 9;
const ENGINES = 6;
const SLOTS_PER_ENGINE = 8;
const MEAN_RUN_MILLISECONDS = 400;
const TOKENS_PER_MILLISECOND = 0.05;
const ORGANISATIONS = 8;
const SHARE_IN_USE = 0.6;
const FLOOD_FACTOR = 10;
const EVERYBODY_FACTOR = 2;
const STEP_MILLISECONDS = 20;
const TARGET_MILLISECONDS = 2000;
const DEADLINE_PER_TARGET = 2;
const ADDRESS_KEEP_MILLISECONDS = 5000;

/**
 * Nodes through which the first organisation sends ten times its share; with "everybody", every
 * organisation sends twice its share instead.
 */
export type Flood = "none" | "one node" | "all nodes" | "everybody";

/** Whether the callers of an organisation use all nodes at once, or one node at a time for 5 s. */
export type Callers = "spread" | "one address";

/** Options of one run. */
export interface FloodRunOptions {
  readonly policy: AdmissionPolicyName;
  readonly flood: Flood;
  readonly callers: Callers;
  readonly seed: number;
  readonly seconds: number;
  /** Time at the start that is not measured, in seconds. */
  readonly warmUpSeconds: number;
  /** Delay from the publication of a fact to its receipt, in milliseconds. */
  readonly factDelayMilliseconds: number;
  /** Interval between load reports of an engine, in milliseconds. */
  readonly reportMilliseconds: number;
}

/**
 * Runs one policy under one flood and returns the measurements of each organisation, the flooding
 * one first.
 */
export async function runFlood(
  options: FloodRunOptions,
): Promise<ReadonlyArray<OrganisationMeasure>> {
  const run = new FloodRun(options);
  return await run.run();
}

class FloodRun {
  readonly #options: FloodRunOptions;
  readonly #clock = new ManualClock();
  readonly #random: RandomSource;
  readonly #engines: EngineGroup;
  readonly #nodes: ReadonlyArray<NodeAdmission>;
  readonly #measures: ReadonlyArray<OrganisationMeasure>;
  readonly #due: number[];
  readonly #addresses: Array<
    { readonly index: number; readonly until: number }
  > = [];

  constructor(options: FloodRunOptions) {
    this.#options = options;
    this.#random = createRandomSource(options.seed);
    this.#engines = new EngineGroup({
      clock: this.#clock,
      engines: ENGINES,
      slotsPerEngine: SLOTS_PER_ENGINE,
      reportMilliseconds: options.reportMilliseconds,
    });
    const names = Array.from(
      { length: ORGANISATIONS },
      (_, index) => `organisation-${index + 1}`,
    );
    this.#measures = names.map((name) => new OrganisationMeasure(name));
    this.#due = names.map(() => 0);
    this.#nodes = createAdmissionBench({
      clock: this.#clock,
      nodes: NODES,
      policy: options.policy,
      declaration: {
        classes: [{
          name: "lookups",
          latencyP99Milliseconds: TARGET_MILLISECONDS,
        }],
        organisations: names.map((name) => ({ name })),
      },
      factDelayMilliseconds: options.factDelayMilliseconds,
      servers: () => this.#engines.reports(),
    }).nodes;
  }

  async run(): Promise<ReadonlyArray<OrganisationMeasure>> {
    const end = this.#options.seconds * 1000;
    while (this.#clock.monotonic() < end) {
      this.#sendDueRequests();
      await this.#clock.advance(STEP_MILLISECONDS);
      for (const node of this.#nodes) node.tick();
    }
    await this.#clock.advance(TARGET_MILLISECONDS * DEADLINE_PER_TARGET);
    return this.#measures;
  }

  // Open loop: requests are sent at their scheduled times, independently of earlier responses.
  #sendDueRequests(): void {
    const now = this.#clock.monotonic();
    for (const [index, due] of this.#due.entries()) {
      let next = due;
      while (next <= now) {
        void this.#sendRequest(index);
        next += -Math.log(1 - this.#random.next()) / this.#getRate(index) *
          1000;
      }
      this.#due[index] = next;
    }
  }

  #getRate(organisation: number): number {
    const perSecond = ENGINES * SLOTS_PER_ENGINE / MEAN_RUN_MILLISECONDS *
      1000;
    const share = perSecond / ORGANISATIONS;
    const { flood } = this.#options;
    if (flood === "everybody") return share * EVERYBODY_FACTOR;
    const isFlooding = organisation === 0 && flood !== "none";
    return share * (isFlooding ? FLOOD_FACTOR : SHARE_IN_USE);
  }

  async #sendRequest(organisation: number): Promise<void> {
    const measure = this.#measures[organisation];
    const startedAt = this.#clock.monotonic();
    const duration = MEAN_RUN_MILLISECONDS * (0.5 + this.#random.next());
    const answer = await this.#pickNode(organisation).admit({
      requestIdentifier: "request",
      service: "assist-lm",
      classOfWork: "lookups",
      organisation: measure?.organisation ?? "",
      deadline: startedAt + TARGET_MILLISECONDS * DEADLINE_PER_TARGET,
      ledger: { add: () => {}, close: () => {} },
      signal: NEVER_ABORTED,
      expectedTokens: Math.round(
        MEAN_RUN_MILLISECONDS * TOKENS_PER_MILLISECOND,
      ),
    });
    const isMeasured = startedAt >= this.#options.warmUpSeconds * 1000;
    if (answer.kind !== "admitted") {
      if (isMeasured) measure?.countRefusal();
      return;
    }
    await this.#engines.run(duration);
    answer.release(Math.round(duration * TOKENS_PER_MILLISECOND));
    const latency = this.#clock.monotonic() - startedAt;
    if (isMeasured) measure?.countResponse(latency, TARGET_MILLISECONDS);
  }

  #pickNode(organisation: number): NodeAdmission {
    const index = this.#pickIndex(organisation);
    const node = this.#nodes[index];
    if (node === undefined) throw new Error(`No node ${index}`);
    return node;
  }

  #pickIndex(organisation: number): number {
    const { flood, callers } = this.#options;
    const isFlooding = organisation === 0 &&
      (flood === "one node" || flood === "all nodes");
    if (isFlooding && flood === "one node") return 0;
    if (isFlooding || callers === "spread") {
      return this.#random.nextBelow(NODES);
    }
    const now = this.#clock.monotonic();
    const kept = this.#addresses[organisation];
    if (kept !== undefined && now < kept.until) return kept.index;
    const index = this.#random.nextBelow(NODES);
    const until = now + ADDRESS_KEEP_MILLISECONDS;
    this.#addresses[organisation] = { index, until };
    return index;
  }
}

const NEVER_ABORTED = new AbortController().signal;
