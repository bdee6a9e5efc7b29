import type { ConfigurationRecord } from "../../generated/snipepath/v1/records_pb.ts";

/** The configuration in force on this node. */
export interface ConfigurationView {
  /** Returns the newest revision known; undefined before the first. */
  current(): ConfigurationRecord | undefined;
  /** Takes a revision over; a lower or equal one changes nothing. */
  adopt(record: ConfigurationRecord): void;
  /** Calls a listener after each adoption; returns what ends that. */
  watch(listener: (record: ConfigurationRecord) => void): () => void;
}
