import { LRUCache } from "lru-cache";
import type { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { NodeRecord } from "../installation/node_record.ts";
import { describeFault } from "../utilities/keep_running.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import { readNodeName } from "../installation/process_identity.ts";
import { selectHighCapacityNodes } from "../installation/select_high_capacity_nodes.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { ReadSignature } from "./sample_scoring.ts";
import { SampleTexts } from "./sample_texts.ts";
import { selectOwnerCandidates } from "./step_owner_choice.ts";
import { hasManifest, type StepEntry } from "./step_registry.ts";
import { StepRun } from "./step_run.ts";
import type { StepTools } from "./step_tools.ts";
import { writeStepOwner } from "./write_step_owner.ts";

const CHECK_INTERVAL_MILLISECONDS = 250;
/** The same while no step is open; a new step is checked when its row is read. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 1000;
/**
 * Time after the detection of an owner's failure in which only the node that rendezvous hashing
 * selects, or a restarted process of the owner's node, takes over the owner's steps.
 */
const EXCLUSIVE_TAKEOVER_MILLISECONDS = 2000;
/**
 * Time after a step's submission from which no node takes the step over. It exceeds the 40 s that
 * installations allow for a sample.
 */
const MAXIMUM_TAKEOVER_AGE_MILLISECONDS = 120_000;

/** Maximum number of steps of which it is remembered that a line was logged. */
const MAXIMUM_LOGGED_STEPS = 1000;

/** Dependencies of a step supervisor. */
export interface StepSupervisorOptions {
  readonly tools: StepTools;
  readonly register: NodeRegister;
  readonly rendezvous: Rendezvous;
  /** Identity of this process: the node's name and a random part that is new at each start. */
  readonly nodeStart: string;
  readonly readSignature: ReadSignature;
  /** Whether other nodes should run the steps, since this one reaches no engine; false if absent. */
  readonly mustYield?: () => boolean;
  readonly stopping: AbortSignal;
}

/**
 * Runs the steps that this node owns, and takes over the steps of failed nodes.
 *
 * Two nodes can run the same step for a while after a takeover. This does no harm, because only one
 * of them can append each result.
 */
export class StepSupervisor {
  readonly #options: StepSupervisorOptions;
  readonly #runs = new Map<string, StepRun>();
  /**
   * Identifiers of the steps whose runs finished or failed on this node and are not started again.
   */
  readonly #endedStepIdentifiers = new Set<string>();
  /**
   * Monotonic time, in milliseconds, at which this node first saw a step without a running owner,
   * by step identifier.
   */
  readonly #orphanedSince = new Map<string, number>();
  /** Identifiers of the steps that this node is taking over. */
  readonly #pendingTakeOvers = new Set<string>();
  readonly #texts = new SampleTexts();
  /** Identifiers of the steps without an owner that were logged, as no running node may own them. */
  readonly #loggedUnownable = new LRUCache<string, true>({
    max: MAXIMUM_LOGGED_STEPS,
  });
  #isTakeOverStopped = false;

  /** @param options - The steps, the nodes and the other dependencies. */
  constructor(options: StepSupervisorOptions) {
    this.#options = options;
    options.tools.stepRegistry.watch(() => this.#checkSteps());
    options.register.watch(() => this.#checkSteps());
  }

  /** Number of steps that run on this node. */
  get running(): number {
    return this.#runs.size;
  }

  /** Checks all steps periodically until the node stops. */
  async run(): Promise<void> {
    const { tools, stopping } = this.#options;
    while (!stopping.aborted) {
      this.#checkSteps();
      if (this.#mustYield && this.#runs.size > 0) await this.handOver();
      const isIdle = this.#runs.size === 0 && this.#orphanedSince.size === 0;
      await tools.clock.sleep(
        isIdle ? IDLE_CHECK_INTERVAL_MILLISECONDS : CHECK_INTERVAL_MILLISECONDS,
        stopping,
      );
    }
    for (const run of this.#runs.values()) run.stop();
  }

  /** Stops taking over steps of other nodes. */
  stopTakeOvers(): void {
    this.#isTakeOverStopped = true;
  }

  /** Saves the texts of the steps that run on this node and transfers the steps to other nodes. */
  async handOver(): Promise<void> {
    const { tools } = this.#options;
    const runs = [...this.#runs];
    await Promise.all(runs.map(async ([identifier, run], index) => {
      const entry = tools.stepRegistry.get(identifier);
      if (entry === undefined) return;
      const successors = this.#listSuccessors(entry);
      const successor = successors[index % successors.length];
      if (successor === undefined) return;
      await run.saveTexts();
      await writeStepOwner(tools, { entry, owner: successor.nodeStart });
    }));
  }

  #listSuccessors(entry: StepEntry): ReadonlyArray<NodeRecord> {
    const { register, nodeStart } = this.#options;
    const isOther = (node: NodeRecord): boolean => node.nodeStart !== nodeStart;
    const allowed = this.#findAllowedRegions(entry);
    if (allowed === undefined) {
      return selectHighCapacityNodes(register.running).filter(isOther);
    }
    return selectOwnerCandidates(register.running.filter(isOther), {
      allowed,
      callerRegion: entry.manifest.submittedRegion,
    });
  }

  #findAllowedRegions({ manifest }: StepEntry): AllowedRegions | undefined {
    return this.#options.tools.regionRules.find(manifest);
  }

  // Whether this node is in a region that may own a step.
  #mayOwn(entry: StepEntry): boolean {
    const { ownFailureDomain } = this.#options.tools.regionRules;
    return this.#findAllowedRegions(entry)?.mayReceiveBody(
      ownFailureDomain,
      entry.manifest.submittedRegion,
    ) ?? true;
  }

  get #mustYield(): boolean {
    return this.#options.mustYield?.() ?? false;
  }

  #checkSteps(): void {
    const { tools, nodeStart } = this.#options;
    for (const entry of tools.stepRegistry.entries) {
      if (!hasManifest(entry)) continue;
      const { identifier } = entry.manifest;
      const run = this.#runs.get(identifier);
      const isOwn = entry.owner === nodeStart;
      if (entry.isEnded || !isOwn) {
        if (run !== undefined) this.#endRun(identifier, run);
      } else if (
        run === undefined && !this.#endedStepIdentifiers.has(identifier)
      ) {
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
    void run.run().catch((error) => {
      tools.log.emit("backgroundTaskFailed", {
        task: `step ${identifier}`,
        detail: describeFault(error),
      });
      run.stop();
    }).finally(() => {
      if (this.#runs.get(identifier) !== run) return;
      this.#runs.delete(identifier);
      this.#endedStepIdentifiers.add(identifier);
    });
  }

  #endRun(identifier: string, run: StepRun): void {
    this.#runs.delete(identifier);
    run.stop();
  }

  #considerTakeOver(entry: StepEntry): void {
    const { register, tools } = this.#options;
    const { identifier } = entry.manifest;
    if (this.#isTakeOverStopped || this.#mustYield) return;
    if (this.#pendingTakeOvers.has(identifier)) return;
    if (this.#isExpired(entry)) return;
    const mayOwn = this.#mayOwn(entry);
    // This node has received the body before, so it need not wait for the configuration.
    if (mayOwn && this.#isOwnerOnThisNode(entry)) {
      return void this.#takeOver(entry);
    }
    if (!register.isCurrent || tools.configuration() === undefined) return;
    if (register.isRunning(entry.owner)) {
      this.#orphanedSince.delete(identifier);
      return;
    }
    if (!mayOwn) return this.#logUnownable(entry);
    const now = tools.clock.monotonic();
    const since = this.#orphanedSince.get(identifier) ?? now;
    this.#orphanedSince.set(identifier, since);
    const mayAnyNodeTakeOver = now - since > EXCLUSIVE_TAKEOVER_MILLISECONDS;
    if (mayAnyNodeTakeOver || this.#isThisNodeChosenFor(entry)) {
      void this.#takeOver(entry);
    }
  }

  // Whether a process of this node owns a step. After a restart, the new process immediately takes
  // over the steps of the previous one, before other nodes have detected the failure.
  #isOwnerOnThisNode({ owner }: StepEntry): boolean {
    return readNodeName(owner) === readNodeName(this.#options.nodeStart);
  }

  #isExpired({ manifest }: StepEntry): boolean {
    const age = this.#options.tools.clock.wall() - manifest.submittedAt;
    // Another program may have written a manifest with a time to come.
    return Math.abs(age) > MAXIMUM_TAKEOVER_AGE_MILLISECONDS;
  }

  // Whether rendezvous hashing selects this node for a step; also true when no node serves.
  #isThisNodeChosenFor(entry: StepEntry): boolean {
    return this.#isThisNodeChosenAmong(
      entry,
      selectOwnerCandidates(this.#options.register.running, {
        allowed: this.#findAllowedRegions(entry),
        callerRegion: entry.manifest.submittedRegion,
      }),
    );
  }

  #isThisNodeChosenAmong(
    { manifest }: StepEntry,
    candidates: ReadonlyArray<NodeRecord>,
  ): boolean {
    const { rendezvous, nodeStart } = this.#options;
    const [chosen] = rendezvous.choose(manifest.identifier, candidates, {
      count: 1,
      name: (node) => node.nodeStart,
    });
    return chosen === undefined || chosen.nodeStart === nodeStart;
  }

  // Logs, on one of the nodes, that no running node may take over a step.
  #logUnownable(entry: StepEntry): void {
    const { register, tools } = this.#options;
    const { identifier, submittedRegion } = entry.manifest;
    if (this.#loggedUnownable.has(identifier)) return;
    const allowed = this.#findAllowedRegions(entry);
    const callerRegion = submittedRegion;
    const isOwnable = selectOwnerCandidates(register.running, {
      allowed,
      callerRegion,
    }).length > 0;
    const all = selectHighCapacityNodes(register.running);
    if (isOwnable || !this.#isThisNodeChosenAmong(entry, all)) return;
    this.#loggedUnownable.set(identifier, true);
    tools.log.emit("takeoverNotAllowed", {
      step: identifier,
      regions: [...allowed?.names ?? []].join(" "),
      submittedRegion: submittedRegion ?? "",
    });
  }

  async #takeOver(entry: StepEntry): Promise<void> {
    const { tools, nodeStart } = this.#options;
    const { identifier } = entry.manifest;
    this.#pendingTakeOvers.add(identifier);
    const outcome = await writeStepOwner(tools, { entry, owner: nodeStart });
    this.#pendingTakeOvers.delete(identifier);
    tools.log.emit("durableStepTakenOver", {
      step: identifier,
      from: entry.owner,
      outcome,
    });
  }
}
