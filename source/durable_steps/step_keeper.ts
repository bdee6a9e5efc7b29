import { LRUCache } from "lru-cache";
import type { NodeRegister } from "../installation/node_register.ts";
import { readNodeName } from "../installation/process_identity.ts";
import { selectStrongNodes } from "../installation/select_strong_nodes.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { ReadSignature } from "./sample_scoring.ts";
import type { SampleText } from "./sample_text_run.ts";
import { isWhole, type StepEntry, toStepPlace } from "./step_book.ts";
import { StepRun } from "./step_run.ts";
import type { StepTools } from "./step_tools.ts";

const CHECK_INTERVAL_MILLISECONDS = 250;
/** After so long without a take-over by the chosen node, any node tries. */
const OPEN_TO_ALL_MILLISECONDS = 2000;
/** Texts of samples that may come back in a later step. */
const KEPT_TEXTS = 4000;
/** Steps older than the longest life of a sample are not taken over; installations allow 40 s. */
const STEP_LIFE_MILLISECONDS = 120_000;

/** What a step keeper works with. */
export interface StepKeeperOptions {
  readonly tools: StepTools;
  readonly register: NodeRegister;
  readonly rendezvous: Rendezvous;
  /** Identity of this process. */
  readonly nodeStart: string;
  readonly readSignature: ReadSignature;
  readonly stopping: AbortSignal;
}

/**
 * Runs the steps that this node owns, and takes over those whose owner is lost.
 *
 * Two nodes that run one step for a while do no harm: only one of them can append each result.
 */
export class StepKeeper {
  readonly #options: StepKeeperOptions;
  readonly #runs = new Map<string, StepRun>();
  readonly #done = new Set<string>();
  readonly #orphanedAt = new Map<string, number>();
  readonly #taking = new Set<string>();
  readonly #texts = new LRUCache<string, SampleText>({ max: KEPT_TEXTS });
  #isLeaving = false;

  /** @param options - The steps and the nodes. */
  constructor(options: StepKeeperOptions) {
    this.#options = options;
    options.tools.book.watch(() => this.#check());
    options.register.watch(() => this.#check());
  }

  /** Steps that run here. */
  get running(): number {
    return this.#runs.size;
  }

  /** Checks again and again until the node stops. */
  async run(): Promise<void> {
    const { tools, stopping } = this.#options;
    while (!stopping.aborted) {
      this.#check();
      await tools.clock.sleep(CHECK_INTERVAL_MILLISECONDS, stopping);
    }
    for (const run of this.#runs.values()) run.stop();
  }

  /** Takes over no more steps. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Gives the steps that still run here to other nodes. */
  async handOver(): Promise<void> {
    const { nodeStart } = this.#options;
    const heirs = selectStrongNodes(this.#options.register.running)
      .filter((node) => node.nodeStart !== nodeStart);
    const runs = [...this.#runs];
    await Promise.all(runs.map(async ([identifier, run], index) => {
      const heir = heirs[index % heirs.length];
      const entry = this.#options.tools.book.get(identifier);
      if (heir === undefined || entry === undefined) return;
      await run.saveTexts();
      await this.#setOwner(entry, heir.nodeStart);
    }));
  }

  #check(): void {
    const { tools, nodeStart } = this.#options;
    for (const entry of tools.book.entries) {
      if (!isWhole(entry)) continue;
      const { identifier } = entry.manifest;
      const run = this.#runs.get(identifier);
      const isOwn = entry.owner === nodeStart;
      if (entry.isEnded || !isOwn) {
        if (run !== undefined) this.#endRun(identifier, run);
      } else if (run === undefined && !this.#done.has(identifier)) {
        this.#startRun(entry);
      }
      if (!entry.isEnded && !isOwn) this.#considerTakeOver(entry);
    }
  }

  #startRun(entry: StepEntry): void {
    const { tools, readSignature } = this.#options;
    const { manifest } = entry;
    const { identifier } = manifest;
    const texts = this.#texts;
    const { nodeStart } = this.#options;
    const run = new StepRun({
      tools,
      manifest,
      nodeStart,
      isFirstOwner: entry.ownerVersion === 0,
      readSignature,
      texts,
    });
    this.#runs.set(identifier, run);
    void run.run().finally(() => {
      if (this.#runs.get(identifier) !== run) return;
      this.#runs.delete(identifier);
      this.#done.add(identifier);
    });
  }

  #endRun(identifier: string, run: StepRun): void {
    this.#runs.delete(identifier);
    run.stop();
  }

  #considerTakeOver(entry: StepEntry): void {
    const { register, tools } = this.#options;
    const { identifier } = entry.manifest;
    if (this.#isLeaving || this.#taking.has(identifier)) return;
    if (this.#isOver(entry)) return;
    if (this.#isOfEarlierProcess(entry)) return void this.#takeOver(entry);
    if (!register.isCurrent) return;
    if (register.isRunning(entry.owner)) {
      this.#orphanedAt.delete(identifier);
      return;
    }
    const now = tools.clock.monotonic();
    const since = this.#orphanedAt.get(identifier) ?? now;
    this.#orphanedAt.set(identifier, since);
    const isOpenToAll = now - since > OPEN_TO_ALL_MILLISECONDS;
    if (isOpenToAll || this.#isChosen(identifier)) void this.#takeOver(entry);
  }

  // A process that was restarted goes on with its node's steps before anyone has missed it.
  #isOfEarlierProcess({ owner }: StepEntry): boolean {
    return readNodeName(owner) === readNodeName(this.#options.nodeStart);
  }

  #isOver({ manifest }: StepEntry): boolean {
    const age = this.#options.tools.clock.wall() - manifest.submittedAt;
    return age > STEP_LIFE_MILLISECONDS;
  }

  #isChosen(step: string): boolean {
    const { register, nodeStart } = this.#options;
    const serving = selectStrongNodes(register.running);
    const [chosen] = this.#options.rendezvous.choose(step, serving, {
      count: 1,
      name: (node) => node.nodeStart,
    });
    return chosen === undefined || chosen.nodeStart === nodeStart;
  }

  async #takeOver(entry: StepEntry): Promise<void> {
    const { tools, nodeStart } = this.#options;
    const { identifier } = entry.manifest;
    this.#taking.add(identifier);
    const outcome = await this.#setOwner(entry, nodeStart);
    this.#taking.delete(identifier);
    tools.log.emit("durableStepTakenOver", {
      step: identifier,
      from: entry.owner,
      outcome,
    });
  }

  async #setOwner(entry: StepEntry, owner: string): Promise<string> {
    const { tools } = this.#options;
    const place = toStepPlace(entry.manifest.identifier, "owner");
    const value = Buffer.from(owner);
    const outcome = await tools.table.commit({
      conditions: [{ ...place, version: entry.ownerVersion }],
      puts: [{ ...place, value }],
    });
    if (outcome.kind !== "ok") return outcome.kind;
    if (outcome.value.kind === "committed") {
      const { version } = outcome.value;
      tools.book.noteWritten({ ...place, value, version });
    }
    return outcome.value.kind;
  }
}
