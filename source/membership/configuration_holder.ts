import type { ConfigurationRecord } from "../../generated/snipepath/v1/records_pb.ts";
import type { EventLog } from "../observability/event_log.ts";
import { invariant } from "../utilities/invariant.ts";
import type { ConfigurationView } from "./configuration_view.ts";

/** Where a revision came from. */
export type ConfigurationSource = "table" | "peer" | "operator";

/** Holds the highest configuration revision seen; it never goes back. */
export class ConfigurationHolder implements ConfigurationView {
  readonly #log: EventLog;
  readonly #listeners = new Set<(record: ConfigurationRecord) => void>();
  #current: ConfigurationRecord | undefined;

  /** @param log - Gets word of each adoption. */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Returns the newest revision known. */
  current(): ConfigurationRecord | undefined {
    return this.#current;
  }

  /** Takes a revision over that an operator applied through this node. */
  adopt(record: ConfigurationRecord): void {
    this.adoptFrom(record, "operator");
  }

  /** Takes a revision over if it is higher than the newest known. */
  adoptFrom(record: ConfigurationRecord, from: ConfigurationSource): void {
    const before = this.#current;
    if (before !== undefined && record.revision <= before.revision) {
      this.#checkEqual(before, record);
      return;
    }
    this.#current = record;
    invariant(
      before === undefined || before.revision < record.revision,
      `Configuration went from revision ${before?.revision} to ${record.revision}`,
    );
    this.#log.emit("configurationAdopted", {
      revision: Number(record.revision),
      from,
    });
    for (const listener of this.#listeners) listener(record);
  }

  /** Calls a listener after each adoption. */
  watch(listener: (record: ConfigurationRecord) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #checkEqual(held: ConfigurationRecord, other: ConfigurationRecord): void {
    if (held.revision !== other.revision) return;
    if (held.digest === other.digest) return;
    this.#log.emit("configurationContradiction", {
      revision: Number(held.revision),
      digest: held.digest,
      otherDigest: other.digest,
    });
  }
}
