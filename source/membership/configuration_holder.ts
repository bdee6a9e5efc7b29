import type { ConfigurationRecord } from "../../generated/snipepath/v1/records_pb.ts";
import type { EventLog } from "../observability/event_log.ts";
import { invariant } from "../utilities/invariant.ts";
import type { ConfigurationView } from "./configuration_view.ts";

/** Source of a configuration revision. */
export type ConfigurationSource = "table" | "peer" | "operator";

/** Holds the highest configuration revision received; a lower one never replaces it. */
export class ConfigurationHolder implements ConfigurationView {
  readonly #log: EventLog;
  readonly #listeners = new Set<(record: ConfigurationRecord) => void>();
  #current: ConfigurationRecord | undefined;

  /** @param log - Receives an event for each adopted revision. */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Returns the highest revision received, or undefined before the first. */
  current(): ConfigurationRecord | undefined {
    return this.#current;
  }

  /** Adopts a revision that an operator applied through this node. */
  adopt(record: ConfigurationRecord): void {
    this.adoptFrom(record, "operator");
  }

  /**
   * Adopts a revision if it is higher than the held one; logs an equal revision with another
   * digest.
   */
  adoptFrom(record: ConfigurationRecord, from: ConfigurationSource): void {
    const before = this.#current;
    if (before !== undefined && record.revision <= before.revision) {
      this.#checkSameDigest(before, record);
      return;
    }
    this.#current = record;
    invariant(
      before === undefined || before.revision < record.revision,
      `Configuration revision ${before?.revision} was replaced by revision ${record.revision}`,
    );
    this.#log.emit("configurationAdopted", {
      revision: Number(record.revision),
      from,
    });
    for (const listener of this.#listeners) listener(record);
  }

  /** Calls a listener after each adoption; returns a function that removes the listener. */
  watch(listener: (record: ConfigurationRecord) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #checkSameDigest(
    held: ConfigurationRecord,
    other: ConfigurationRecord,
  ): void {
    if (held.revision !== other.revision) return;
    if (held.digest === other.digest) return;
    this.#log.emit("configurationContradiction", {
      revision: Number(held.revision),
      digest: held.digest,
      otherDigest: other.digest,
    });
  }
}
