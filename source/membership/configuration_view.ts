import type { ConfigurationRecord } from "../../generated/snipepath/v1/records_pb.ts";

/** View of the configuration in force on this node. */
export interface ConfigurationView {
  /** Returns the highest revision received, or undefined before the first. */
  current(): ConfigurationRecord | undefined;
  /** Adopts a revision if it is higher than the held one. */
  adopt(record: ConfigurationRecord): void;
  /** Calls a listener after each adoption; returns a function that removes the listener. */
  watch(listener: (record: ConfigurationRecord) => void): () => void;
}
