import { create, toJsonString } from "@bufbuild/protobuf";
import { ConfirmWeightVersionRequestSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import { WeightRecordSchema } from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { Row, TableClient } from "../platform/table_client.ts";
import type { Clock } from "../utilities/clock.ts";
import { readRecord } from "./read_record.ts";
import { refuse, type StepRefusal } from "./step_refusal.ts";
import {
  MAXIMUM_VERSION_READ_AGE_MILLISECONDS,
  type PublishedVersion,
  WEIGHTS_TABLE,
  type WeightVersions,
} from "./weight_versions.ts";

const MAXIMUM_ATTEMPTS = 5;
const RETRY_AFTER_MILLISECONDS = 1000;
/** Time for which a publication waits beyond the maximum age of a table read. */
const CONFIRMATION_MARGIN_MILLISECONDS = 250;

/**
 * A weight version that the table stores. When it is returned, no node relies on a table read from
 * before the write any more.
 */
export interface Publication {
  readonly kind: "published";
  readonly version: number;
  /** Peers that confirmed that they recorded the version. */
  readonly confirmed: ReadonlyArray<string>;
  /**
   * Peers that did not confirm the version; they learn it from the table or from a trainer's pull
   * before they deliver a sample.
   */
  readonly silent: ReadonlyArray<string>;
}

/** Dependencies of the weight publisher. */
export interface WeightPublisherOptions {
  readonly clock: Clock;
  readonly table: TableClient;
  readonly peers: PeerDirectory;
  readonly versions: WeightVersions;
}

type SaveOutcome = { readonly kind: "saved" } | StepRefusal;

/**
 * Publishes weight versions: writes them to the table, then sends them to every node.
 *
 * A publication returns only after every table read that another node made before the write has
 * expired. From then on, no node checks the staleness bound against an older newest version when
 * it delivers a sample.
 * @example
 * ```ts
 * const outcome = await publisher.publish({ trainer, service, version: 7, location });
 * ```
 */
export class WeightPublisher {
  readonly #options: WeightPublisherOptions;

  /** @param options - Clock, table, peers and weight versions. */
  constructor(options: WeightPublisherOptions) {
    this.#options = options;
  }

  /** Publishes a version; publishing the same version at the same location again is idempotent. */
  async publish(
    published: PublishedVersion,
  ): Promise<Publication | StepRefusal> {
    const saved = await this.#save(published);
    if (saved.kind === "refused") return saved;
    const { clock, peers, versions } = this.#options;
    const savedAt = clock.monotonic();
    versions.publish(published);
    const confirmations = await peers.confirmWeightVersion(
      create(ConfirmWeightVersionRequestSchema, {
        trainer: published.trainer,
        service: published.service,
        version: BigInt(published.version),
        location: published.location,
      }),
    );
    const elapsedMilliseconds = clock.monotonic() - savedAt;
    await clock.sleep(
      MAXIMUM_VERSION_READ_AGE_MILLISECONDS + CONFIRMATION_MARGIN_MILLISECONDS -
        elapsedMilliseconds,
    );
    return {
      kind: "published",
      version: published.version,
      confirmed: confirmations.confirmed,
      silent: confirmations.silent,
    };
  }

  async #save(published: PublishedVersion): Promise<SaveOutcome> {
    let mayHaveCommitted = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const row = await this.#options.table.get(
        WEIGHTS_TABLE,
        published.trainer,
      );
      if (row.kind !== "ok") {
        return refuseUnavailable(row.reason, mayHaveCommitted);
      }
      const decided = decideFromRow(published, row.value);
      if (decided !== undefined) return decided;
      const outcome = await this.#commit(published, row.value?.version ?? 0);
      if (outcome.kind === "notRun") {
        return refuseUnavailable(outcome.reason, mayHaveCommitted);
      }
      if (outcome.kind === "unknown") mayHaveCommitted = true;
      if (outcome.kind === "ok" && outcome.value.kind === "committed") {
        return { kind: "saved" };
      }
    }
    return refuseUnavailable(
      "other writes changed the row in every attempt",
      mayHaveCommitted,
    );
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

function decideFromRow(
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

function refuseUnavailable(
  reason: string,
  mayHaveCommitted: boolean,
): StepRefusal {
  return refuse(
    "platformUnavailable",
    `The table can't be read or written: ${reason}`,
    {
      ran: mayHaveCommitted ? "unknown" : "notRun",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    },
  );
}
