import type { ServiceRoute } from "../installation/configuration.ts";
import type { StepAdmissionControl } from "./step_admission_control.ts";
import { randomUUID } from "node:crypto";
import type { CallOutcome } from "../calls/call_outcome.ts";
import { NO_ALLOWED_REGION } from "../calls/forwarding_outcomes.ts";
import type { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { RowTransaction, StoredRow } from "../platform/durable_table.ts";
import {
  hasManifest,
  type StepEntry,
  toStepRowPlace,
} from "./step_registry.ts";
import { readManifest, type StepManifest } from "./step_manifest.ts";
import type { ReadSubmission, StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";
import { writeStepOwner } from "./write_step_owner.ts";

const RETRY_PAUSE_MILLISECONDS = 60;
/** Time for which writes are retried before the trainer gets a refusal with a retry delay. */
const RETRY_LIMIT_MILLISECONDS = 1500;
/**
 * Time for which a write with an unknown outcome is retried. Trainers wait 1.5 s longer than the
 * time that they allow.
 */
const UNKNOWN_OUTCOME_RETRY_LIMIT_MILLISECONDS = 4000;
const RETRY_AFTER_MILLISECONDS = 300;
const ACCEPTED_STATUS = 202;
/** Value of a row that stands in place of the manifest of a rejected step. */
const REJECTED_MANIFEST = Buffer.from("rejected");

/** A step as received from a trainer. */
export interface IncomingStep {
  readonly identifier: string;
  readonly organisation: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
  readonly route: ServiceRoute;
}

/** A step that is being accepted. */
interface AcceptingStep {
  readonly route: ServiceRoute;
  /** Monotonic time, in milliseconds, at which the submission had been read. */
  readonly receivedAt: number;
}

/** Dependencies of a step intake. */
export interface StepIntakeOptions {
  readonly tools: StepTools;
  readonly readSubmission: ReadSubmission;
  /** Decides whether a new step is accepted. */
  readonly admission: Pick<StepAdmissionControl, "decide">;
  /** Returns the identity of the process that will run a step. */
  readonly chooseOwner: (
    submission: StepSubmission,
    allowed?: AllowedRegions,
  ) => string;
  /** Whether a step that is submitted again keeps its owner; it does if absent. */
  readonly mayKeepOwner?: (
    entry: StepEntry,
    allowed: AllowedRegions | undefined,
  ) => boolean;
}

/** Accepts steps from trainers. A step is accepted once its manifest is in the store. */
export class StepIntake {
  readonly #options: StepIntakeOptions;

  /** @param options - The store, the submission parser and the choice of an owner. */
  constructor(options: StepIntakeOptions) {
    this.#options = options;
  }

  /**
   * Accepts a step; accepting the same step again has no effect and succeeds too.
   * @returns `refused` only when this call cannot cause the step to be accepted later.
   */
  async accept(step: IncomingStep): Promise<CallOutcome> {
    const { tools, readSubmission } = this.#options;
    const receivedAt = tools.clock.monotonic();
    const submission = readSubmission(step.body);
    if (submission === undefined) {
      return { kind: "refused", refusal: "malformed" };
    }
    const known = tools.stepRegistry.get(step.identifier);
    if (known !== undefined && hasManifest(known)) {
      this.#checkOwner(known, submission);
      return ACCEPTED;
    }
    if (tools.storeHealth.isHanging) return STORE_UNREACHABLE;
    const allowed = tools.regionRules.find(step);
    if (allowed?.isEmpty === true) {
      return await this.#reject(step.identifier, NO_ALLOWED_REGION);
    }
    const decision = this.#options.admission.decide(
      submission,
      step.route,
      allowed,
    );
    if (decision.kind === "reject") {
      const { retryAfterMilliseconds } = decision;
      tools.log.emit("durableStepRejected", {
        step: step.identifier,
        model: submission.model,
        samples: submission.samples.length,
        retryAfterMilliseconds,
      });
      return await this.#reject(step.identifier, {
        kind: "refused",
        refusal: "overloaded",
        retryAfterMilliseconds,
      });
    }
    const upload = `${step.identifier}/${randomUUID().slice(0, 8)}`;
    const rows = tools.submissionStore.toRows(upload, step.body);
    const { before, last } = tools.submissionStore.toTransactions(rows);
    for (const transaction of before) {
      if (!await this.#commitEarlierRows(transaction)) return STORE_UNREACHABLE;
    }
    const manifest: StepManifest = {
      identifier: step.identifier,
      organisation: step.organisation,
      host: step.host,
      path: step.path,
      submittedAt: tools.clock.wall(),
      total: submission.samples.length,
      model: submission.model,
      step: submission.step,
      upload,
      chunks: rows.length,
      owner: this.#options.chooseOwner(submission, allowed),
      submittedRegion: tools.regionRules.ownRegion,
      minimumVersion: submission.minimumVersion,
    };
    return await this.#commitManifest({
      manifest,
      last,
      submission,
      accepting: { route: step.route, receivedAt },
    });
  }

  async #commitEarlierRows(transaction: RowTransaction): Promise<boolean> {
    const { tools } = this.#options;
    const startedAt = tools.clock.monotonic();
    for (;;) {
      const outcome = await tools.table.commit(transaction);
      if (outcome.kind === "ok") return true;
      if (!this.#mayRetry(startedAt)) return false;
      await tools.clock.sleep(RETRY_PAUSE_MILLISECONDS);
    }
  }

  // Whether a failed write may be retried. While the store is unreachable from this node, it is not
  // retried, because another node may still reach the store.
  #mayRetry(startedAt: number): boolean {
    const { clock, storeHealth } = this.#options.tools;
    const waited = clock.monotonic() - startedAt;
    return waited <= RETRY_LIMIT_MILLISECONDS && !storeHealth.isUnreachable;
  }

  // Writes a row in place of the manifest, so that an earlier write of the manifest whose outcome is
  // unknown can't take effect after the refusal. A later submission replaces the row.
  async #reject(
    identifier: string,
    refusal: CallOutcome,
  ): Promise<CallOutcome> {
    const place = toStepRowPlace(identifier, "manifest");
    const outcome = await this.#options.tools.table.commit({
      conditions: [{ ...place, version: 0 }],
      puts: [{ ...place, value: REJECTED_MANIFEST }],
    });
    if (outcome.kind !== "ok") {
      return outcome.kind === "unknown"
        ? { kind: "unknown", reason: "timedOut" }
        : STORE_UNREACHABLE;
    }
    const isAccepted = outcome.value.kind === "conflict" &&
      outcome.value.rows.some(({ value }) => readManifest(value) !== undefined);
    return isAccepted ? ACCEPTED : refusal;
  }

  // Gives a step that was submitted again to another node if the lists in force do not allow its
  // owner. The caller's answer does not depend on it.
  #checkOwner(entry: StepEntry, submission: StepSubmission): void {
    const { tools, chooseOwner, mayKeepOwner } = this.#options;
    const allowed = tools.regionRules.find(entry.manifest);
    if (entry.isEnded || mayKeepOwner?.(entry, allowed) !== false) return;
    const { owner: from, manifest: { identifier: step } } = entry;
    const to = chooseOwner(submission, allowed);
    if (to === from) return;
    void writeStepOwner(tools, { entry, owner: to }).then((outcome) =>
      tools.log.emit("stepOwnerReplaced", { step, from, to, outcome })
    );
  }

  // Retries the same conditional write until its outcome is known or the retry limit has passed.
  // After a write without a response the store may still accept the step at any later time, so the
  // step is no longer refused.
  async #commitManifest(
    { manifest, last, submission, accepting }: {
      readonly manifest: StepManifest;
      readonly last: RowTransaction["puts"];
      readonly submission: StepSubmission;
      readonly accepting: AcceptingStep;
    },
  ): Promise<CallOutcome> {
    const { tools } = this.#options;
    const place = toStepRowPlace(manifest.identifier, "manifest");
    const value = Buffer.from(JSON.stringify(manifest));
    const startedAt = tools.clock.monotonic();
    let isOutcomeUnknown = false;
    /** Version of the row that an earlier refusal wrote; 0 without one. */
    let version = 0;
    for (;;) {
      const outcome = await tools.table.commit({
        conditions: [{ ...place, version }],
        puts: [{ ...place, value }, ...last],
      });
      if (outcome.kind === "ok") {
        if (outcome.value.kind === "conflict") {
          const rejected = outcome.value.rows.find(({ value }) =>
            value.equals(REJECTED_MANIFEST)
          );
          if (rejected !== undefined) {
            version = rejected.version;
            continue;
          }
        }
        if (outcome.value.kind === "committed") {
          tools.submissionStore.addToCache(manifest.identifier, submission);
          this.#applyManifestRow({
            ...place,
            value,
            version: outcome.value.version,
          });
          this.#logAcceptance(manifest, { submission, accepting });
        } else {
          this.#applyRows(outcome.value.rows);
          const entry = tools.stepRegistry.get(manifest.identifier);
          if (entry !== undefined) this.#checkOwner(entry, submission);
          // An earlier write of this node took effect, though its response was lost.
          if (entry?.manifest.upload === manifest.upload) {
            this.#logAcceptance(manifest, { submission, accepting });
          }
        }
        return ACCEPTED;
      }
      isOutcomeUnknown ||= outcome.kind === "unknown";
      if (!isOutcomeUnknown && !this.#mayRetry(startedAt)) {
        return STORE_UNREACHABLE;
      }
      const waited = tools.clock.monotonic() - startedAt;
      if (waited > UNKNOWN_OUTCOME_RETRY_LIMIT_MILLISECONDS) {
        return { kind: "unknown", reason: "timedOut" };
      }
      await tools.clock.sleep(RETRY_PAUSE_MILLISECONDS);
    }
  }

  #applyRows(rows: ReadonlyArray<StoredRow>): void {
    for (const row of rows) this.#applyManifestRow(row);
  }

  #applyManifestRow(row: StoredRow): void {
    const { tools } = this.#options;
    const manifest = readManifest(row.value);
    if (manifest === undefined) return;
    tools.stepRegistry.applyWrittenRow(row);
  }

  #logAcceptance(
    { identifier, model, step, total }: StepManifest,
    { submission, accepting }: {
      readonly submission: StepSubmission;
      readonly accepting: AcceptingStep;
    },
  ): void {
    const { clock, log } = this.#options.tools;
    log.emit("durableStepAccepted", {
      step: identifier,
      model,
      stepNumber: step,
      samples: total,
      targetGroups: submission.targetGroups,
      milliseconds: Math.round(clock.monotonic() - accepting.receivedAt),
      dueMilliseconds: accepting.route.resultDeadlineMilliseconds ?? 0,
    });
  }
}

const ACCEPTED: CallOutcome = {
  kind: "answered",
  status: ACCEPTED_STATUS,
  headers: {},
  body: Buffer.alloc(0),
};

const STORE_UNREACHABLE: CallOutcome = {
  kind: "refused",
  refusal: "storeAway",
  retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
};
