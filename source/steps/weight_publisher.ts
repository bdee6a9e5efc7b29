import { create, toJsonString } from "@bufbuild/protobuf";
import { ConfirmWeightVersionRequestSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import { WeightRecordSchema } from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { Row, TableClient } from "../platform/table_client.ts";
import type { Clock } from "../utilities/clock.ts";
import { readRecord } from "./read_record.ts";
import { refuse, type StepRefusal } from "./step_refusal.ts";
import {
  type PublishedVersion,
  VERSION_VIEW_MILLISECONDS,
  WEIGHTS_TABLE,
  type WeightVersions,
} from "./weight_versions.ts";

const MAXIMUM_ATTEMPTS = 5;
const RETRY_AFTER_MILLISECONDS = 1000;
const CONFIRMATION_MARGIN_MILLISECONDS = 250;

/** A version that is saved and that every node goes by. */
export interface Publication {
  readonly kind: "published";
  readonly version: number;
  /** Peers that confirmed; the others learn it before they hand over a sample. */
  readonly confirmed: ReadonlyArray<string>;
  readonly silent: ReadonlyArray<string>;
}

/** What the publisher needs. */
export interface WeightPublisherOptions {
  readonly clock: Clock;
  readonly table: TableClient;
  readonly peers: PeerDirectory;
  readonly versions: WeightVersions;
}

type SaveOutcome = { readonly kind: "saved" } | StepRefusal;

/**
 * Publishes weight versions: saves them, then tells every node.
 *
 * The answer comes no sooner than the age up to which another node may go by its last reading of
 * the table. After the answer, no node hands over a sample by an older newest version.
 * @example
 * ```ts
 * const outcome = await publisher.publish({ trainer, service, version: 7, location });
 * ```
 */
export class WeightPublisher {
  readonly #options: WeightPublisherOptions;

  /** @param options - What the publisher needs. */
  constructor(options: WeightPublisherOptions) {
    this.#options = options;
  }

  /** Publishes a version; the same version at the same location may be published again. */
  async publish(
    published: PublishedVersion,
  ): Promise<Publication | StepRefusal> {
    const saved = await this.#save(published);
    if (saved.kind === "refused") return saved;
    const { clock, peers, versions } = this.#options;
    const savedAt = clock.monotonic();
    versions.tell(published);
    const confirmations = await peers.confirmWeightVersion(
      create(ConfirmWeightVersionRequestSchema, {
        trainer: published.trainer,
        service: published.service,
        version: BigInt(published.version),
        location: published.location,
      }),
    );
    const passed = clock.monotonic() - savedAt;
    await clock.sleep(
      VERSION_VIEW_MILLISECONDS + CONFIRMATION_MARGIN_MILLISECONDS - passed,
    );
    return {
      kind: "published",
      version: published.version,
      confirmed: confirmations.confirmed,
      silent: confirmations.silent,
    };
  }

  async #save(published: PublishedVersion): Promise<SaveOutcome> {
    let mayHaveRun = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const row = await this.#options.table.get(
        WEIGHTS_TABLE,
        published.trainer,
      );
      if (row.kind !== "ok") return refuseUnavailable(row.reason, mayHaveRun);
      const settled = compareWithRow(published, row.value);
      if (settled !== undefined) return settled;
      const outcome = await this.#commit(published, row.value?.version ?? 0);
      if (outcome.kind === "notRun") {
        return refuseUnavailable(outcome.reason, mayHaveRun);
      }
      if (outcome.kind === "unknown") mayHaveRun = true;
      if (outcome.kind === "ok" && outcome.value.kind === "committed") {
        return { kind: "saved" };
      }
    }
    return refuseUnavailable("The row changed too often", mayHaveRun);
  }

  #commit(
    published: PublishedVersion,
    version: number,
  ): ReturnType<TableClient["commit"]> {
    const record = create(WeightRecordSchema, {
      trainer: published.trainer,
      service: published.service,
      newestVersion: BigInt(published.version),
      location: published.location,
    });
    const key = published.trainer;
    return this.#options.table.commit({
      conditions: [{ table: WEIGHTS_TABLE, key, version }],
      writes: [{
        table: WEIGHTS_TABLE,
        key,
        value: toJsonString(WeightRecordSchema, record),
      }],
    });
  }
}

function compareWithRow(
  published: PublishedVersion,
  row: Row | undefined,
): SaveOutcome | undefined {
  if (row === undefined) return undefined;
  const record = readRecord(WeightRecordSchema, row.value);
  if (record === undefined) return undefined;
  const newest = Number(record.newestVersion);
  if (newest < published.version) return undefined;
  if (newest === published.version && record.location === published.location) {
    return { kind: "saved" };
  }
  return refuse(
    "conflict",
    `Version ${published.version} is not newer than the newest version ${newest}`,
    { field: "version" },
  );
}

function refuseUnavailable(reason: string, mayHaveRun: boolean): StepRefusal {
  return refuse("platformUnavailable", `The table did not answer: ${reason}`, {
    ran: mayHaveRun ? "unknown" : "notRun",
    retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
  });
}
