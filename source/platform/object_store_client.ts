import type { PlatformOutcome } from "./platform_outcome.ts";

/** The platform's object store. */
export interface ObjectStoreClient {
  /** Writes an object whole, replacing an earlier one. */
  put(key: string, body: Uint8Array): Promise<PlatformOutcome<void>>;
  /** Reads an object; undefined when it is absent. */
  get(key: string): Promise<PlatformOutcome<Uint8Array | undefined>>;
  /** Lists the keys under a prefix in their order. */
  list(prefix: string): Promise<PlatformOutcome<ReadonlyArray<string>>>;
  /** Deletes an object; an absent one is no failure. */
  delete(key: string): Promise<PlatformOutcome<void>>;
}
