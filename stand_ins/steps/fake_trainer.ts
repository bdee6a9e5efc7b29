import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import { getOldestVersion } from "../../source/steps/sample_staleness.ts";
import type { PullResponse } from "../../source/steps/step_pull_handler.ts";
import type { StepRefusal } from "../../source/steps/step_refusal.ts";
import type { StepSubmission } from "../../source/steps/step_service.ts";
import type { FakeNode, FakeNodeGroup } from "./fake_node_group.ts";

const PULL_WAIT_MILLISECONDS = 1000;
const MAXIMUM_PULL_ATTEMPTS = 400;
const MAXIMUM_SUBMIT_ATTEMPTS = 50;
const REFUSED_WAIT_MILLISECONDS = 250;
const TIMEOUT_MILLISECONDS = 8000;

/** Options of a fake trainer. */
export interface FakeTrainerOptions {
  readonly group: FakeNodeGroup;
  readonly boundVersions: number;
  /** Whether each pull states the newest published version. */
  readonly statesVersion: boolean;
  /** Time between a response and the next pull. */
  readonly pauseMilliseconds: number;
  readonly maximum: number;
  /** Returns the node for a pull or a submission, by the number of the attempt. */
  readonly chooseNode: (pull: number) => FakeNode;
  /** Returns whether the response to a pull is lost. */
  readonly losesAnswer?: (pull: number) => boolean;
}

/** Numbers of samples that a trainer received or still lacks, and of violations. */
export interface TrainerFindings {
  readonly delivered: number;
  readonly lost: number;
  readonly doubled: number;
  readonly tooOld: number;
  readonly wrongVersions: number;
  readonly contradictions: number;
}

/**
 * A fake trainer that pulls the samples of a step and checks each of them.
 * @example
 * ```ts
 * const trainer = new FakeTrainer(options);
 * await trainer.submit(submission);
 * await trainer.pullAll();
 * ```
 */
export class FakeTrainer {
  /** The newest version whose publication was acknowledged. */
  publishedVersion = 1;
  /** Cursor from the latest response. */
  cursor = "";
  /** Refusals received, in order. */
  readonly refusals: StepRefusal[] = [];
  readonly #options: FakeTrainerOptions;
  readonly #samples = new Map<number, Sample>();
  readonly #receivedByHeldSamples = new Map<string, Map<number, Sample>>();
  #submission: StepSubmission | undefined;
  #pullCount = 0;
  #doubled = 0;
  #tooOld = 0;
  #wrongVersions = 0;
  #contradictions = 0;

  /** @param options - Node group, staleness bound, and how the trainer pulls. */
  constructor(options: FakeTrainerOptions) {
    this.#options = options;
  }

  /** Submits a step in up to 50 attempts, records refusals, and returns whether it was accepted. */
  async submit(submission: StepSubmission): Promise<boolean> {
    this.#submission = submission;
    const { group, chooseNode } = this.#options;
    const trainer = group.configuration.declaration?.trainers[0];
    if (trainer === undefined) return false;
    for (let attempt = 0; attempt < MAXIMUM_SUBMIT_ATTEMPTS; attempt += 1) {
      const outcome = await chooseNode(attempt).service
        .submit(submission, trainer);
      if (outcome.kind === "accepted") {
        this.cursor = outcome.cursor;
        return true;
      }
      this.refusals.push(outcome);
      await group.clock.sleep(REFUSED_WAIT_MILLISECONDS);
    }
    return false;
  }

  /** Publishes a version, records a refusal, and returns whether the version was acknowledged. */
  async publish(version: number, node: FakeNode): Promise<boolean> {
    const outcome = await node.service.publish({
      trainer: "dots",
      service: "dot-models",
      version,
      location: `weights/${version}`,
    });
    if (outcome.kind === "refused") {
      this.refusals.push(outcome);
      return false;
    }
    this.publishedVersion = Math.max(this.publishedVersion, version);
    return true;
  }

  /** Pulls, with up to 400 attempts, and returns whether all samples were received. */
  async pullAll(): Promise<boolean> {
    for (let pull = 0; pull < MAXIMUM_PULL_ATTEMPTS; pull += 1) {
      const answer = await this.pullOnce();
      if (answer !== undefined && answer.held === answer.wanted) return true;
      await this.#options.group.clock.sleep(
        answer === undefined
          ? REFUSED_WAIT_MILLISECONDS
          : this.#options.pauseMilliseconds,
      );
    }
    return false;
  }

  /** Pulls once and returns the response; undefined for a refused pull or a lost response. */
  async pullOnce(): Promise<PullResponse | undefined> {
    this.#pullCount += 1;
    const pull = this.#pullCount;
    const node = this.#options.chooseNode(pull);
    const { clock } = this.#options.group;
    if (!node.isAlive) {
      await clock.sleep(REFUSED_WAIT_MILLISECONDS);
      return undefined;
    }
    const answer = await this.#sendPull(node);
    const isLost = this.#options.losesAnswer?.(pull) ?? false;
    if (answer === undefined || isLost) return undefined;
    for (const sample of answer.samples) this.#recordSample(sample);
    this.cursor = answer.cursor;
    return answer;
  }

  /** Returns the results of the checks so far. */
  findings(): TrainerFindings {
    const wanted = (this.#submission?.groups ?? [])
      .reduce((sum, group) => sum + group.samples, 0);
    return {
      delivered: this.#samples.size,
      lost: wanted - this.#samples.size,
      doubled: this.#doubled,
      tooOld: this.#tooOld,
      wrongVersions: this.#wrongVersions,
      contradictions: this.#contradictions,
    };
  }

  async #sendPull(node: FakeNode): Promise<PullResponse | undefined> {
    const { group, statesVersion, maximum } = this.#options;
    const controller = new AbortController();
    const result: { answer?: PullResponse } = {};
    const pulled = node.service.pull({
      trainer: "dots",
      step: this.#submission?.step ?? "",
      cursor: this.cursor,
      maximum,
      waitMilliseconds: PULL_WAIT_MILLISECONDS,
      newestVersion: statesVersion ? this.publishedVersion : undefined,
      signal: controller.signal,
    }, (answer) => {
      if (!node.isAlive) return;
      this.#checkAnswer(answer);
      result.answer = answer;
    }).then((refusal) => {
      if (refusal !== undefined && node.isAlive) this.refusals.push(refusal);
    });
    await Promise.race([pulled, group.clock.sleep(TIMEOUT_MILLISECONDS)]);
    controller.abort();
    return result.answer;
  }

  #checkAnswer(answer: PullResponse): void {
    const heldIndexes = [...this.#samples.keys()].sort().join(" ");
    const earlierSamples = this.#receivedByHeldSamples.get(heldIndexes) ??
      new Map<number, Sample>();
    this.#receivedByHeldSamples.set(heldIndexes, earlierSamples);
    for (const sample of answer.samples) {
      if (this.#isTooOld(sample)) this.#tooOld += 1;
      const earlierSample = earlierSamples.get(sample.index);
      if (
        earlierSample !== undefined && !this.#isTooOld(earlierSample) &&
        earlierSample.text !== sample.text
      ) this.#contradictions += 1;
      earlierSamples.set(sample.index, sample);
    }
  }

  #isTooOld(sample: Sample): boolean {
    const age = this.publishedVersion - getOldestVersion(sample);
    return age > this.#options.boundVersions;
  }

  #recordSample(sample: Sample): void {
    if (this.#samples.has(sample.index)) this.#doubled += 1;
    this.#samples.set(sample.index, sample);
    const actualRun = this.#options.group.pool.generatedRuns.get(sample.text);
    const named = sample.stretches.map((stretch) => ({
      weightVersion: Number(stretch.weightVersion),
      tokens: stretch.tokens,
    }));
    if (JSON.stringify(actualRun?.stretches) !== JSON.stringify(named)) {
      this.#wrongVersions += 1;
    }
  }
}
