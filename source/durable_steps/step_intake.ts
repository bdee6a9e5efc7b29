import { randomUUID } from "node:crypto";
import type { CallOutcome } from "../calls/call_outcome.ts";
import type { RowTransaction, StoredRow } from "../platform/durable_table.ts";
import { isWhole, toStepPlace } from "./step_book.ts";
import { readManifest, type StepManifest } from "./step_manifest.ts";
import type { ReadSubmission, StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";

const PAUSE_MILLISECONDS = 60;
/** Time in which an acceptance is tried again before the trainer is told to come back. */
const PATIENCE_MILLISECONDS = 1500;
/** Time in which an unsettled write is tried again; trainers wait 1.5 s longer than they allow. */
const SETTLE_MILLISECONDS = 4000;
const RETRY_AFTER_MILLISECONDS = 300;
const ACCEPTED_STATUS = 202;

/** A step as it arrives. */
export interface ArrivingStep {
  readonly identifier: string;
  readonly organisation: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

/** What a step intake works with. */
export interface StepIntakeOptions {
  readonly tools: StepTools;
  readonly readSubmission: ReadSubmission;
  /** Returns the process that is to run a step that is accepted now. */
  readonly chooseOwner: (submission: StepSubmission) => string;
}

/**
 * Accepts steps: a step is accepted once its manifest stands in the store.
 */
export class StepIntake {
  readonly #options: StepIntakeOptions;

  /** @param options - The store and how submissions are read. */
  constructor(options: StepIntakeOptions) {
    this.#options = options;
  }

  /**
   * Accepts a step, or tells that it was accepted before.
   * @returns `refused` only when no part of the step can ever run because of this call.
   */
  async accept(arriving: ArrivingStep): Promise<CallOutcome> {
    const { tools, readSubmission } = this.#options;
    const submission = readSubmission(arriving.body);
    if (submission === undefined) {
      return { kind: "refused", refusal: "malformed" };
    }
    const known = tools.book.get(arriving.identifier);
    if (known !== undefined && isWhole(known)) return ACCEPTED;
    if (tools.storeHealth.isSilent) return STORE_AWAY;
    const upload = `${arriving.identifier}/${randomUUID().slice(0, 8)}`;
    const rows = tools.archive.toRows(upload, arriving.body);
    const { before, last } = tools.archive.toTransactions(rows);
    for (const transaction of before) {
      if (!await this.#commitBefore(transaction)) return STORE_AWAY;
    }
    const manifest: StepManifest = {
      identifier: arriving.identifier,
      organisation: arriving.organisation,
      host: arriving.host,
      path: arriving.path,
      submittedAt: tools.clock.wall(),
      total: submission.samples.length,
      model: submission.model,
      step: submission.step,
      upload,
      chunks: rows.length,
      owner: this.#options.chooseOwner(submission),
    };
    return await this.#commit({ manifest, last, submission });
  }

  async #commitBefore(transaction: RowTransaction): Promise<boolean> {
    const { tools } = this.#options;
    const startedAt = tools.clock.monotonic();
    for (;;) {
      const outcome = await tools.table.commit(transaction);
      if (outcome.kind === "ok") return true;
      if (!this.#mayTryAgain(startedAt)) return false;
      await tools.clock.sleep(PAUSE_MILLISECONDS);
    }
  }

  // While the store is away, another node may reach it sooner.
  #mayTryAgain(startedAt: number): boolean {
    const { clock, storeHealth } = this.#options.tools;
    const waited = clock.monotonic() - startedAt;
    return waited <= PATIENCE_MILLISECONDS && !storeHealth.isAway;
  }

  // The same conditional write is tried until its effect is known: after one without an answer,
  // the step may be accepted at any later moment, so it is no longer refused.
  async #commit(
    { manifest, last, submission }: {
      readonly manifest: StepManifest;
      readonly last: RowTransaction["puts"];
      readonly submission: StepSubmission;
    },
  ): Promise<CallOutcome> {
    const { tools } = this.#options;
    const place = toStepPlace(manifest.identifier, "manifest");
    const value = Buffer.from(JSON.stringify(manifest));
    const startedAt = tools.clock.monotonic();
    let isUnsettled = false;
    for (;;) {
      const outcome = await tools.table.commit({
        conditions: [{ ...place, version: 0 }],
        puts: [{ ...place, value }, ...last],
      });
      if (outcome.kind === "ok") {
        if (outcome.value.kind === "committed") {
          tools.archive.remember(manifest.identifier, submission);
          this.#note({ ...place, value, version: outcome.value.version });
        } else this.#noteRows(outcome.value.rows);
        return ACCEPTED;
      }
      isUnsettled ||= outcome.kind === "unknown";
      if (!isUnsettled && !this.#mayTryAgain(startedAt)) return STORE_AWAY;
      const waited = tools.clock.monotonic() - startedAt;
      if (waited > SETTLE_MILLISECONDS) {
        return { kind: "unknown", reason: "timedOut" };
      }
      await tools.clock.sleep(PAUSE_MILLISECONDS);
    }
  }

  #noteRows(rows: ReadonlyArray<StoredRow>): void {
    for (const row of rows) this.#note(row);
  }

  #note(row: StoredRow): void {
    const { tools } = this.#options;
    const manifest = readManifest(row.value);
    if (manifest === undefined) return;
    tools.book.noteWritten(row);
    tools.log.emit("durableStepAccepted", {
      step: manifest.identifier,
      model: manifest.model,
      number: manifest.step,
      samples: manifest.total,
    });
  }
}

const ACCEPTED: CallOutcome = {
  kind: "answered",
  status: ACCEPTED_STATUS,
  headers: {},
  body: Buffer.alloc(0),
};

const STORE_AWAY: CallOutcome = {
  kind: "refused",
  refusal: "storeAway",
  retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
};
