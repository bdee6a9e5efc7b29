import type { PlatformOutcome } from "./platform_outcome.ts";

/** Client of the platform's object store. */
export interface ObjectStoreClient {
  /** Writes a complete object, replacing an earlier one. */
  put(key: string, body: Uint8Array): Promise<PlatformOutcome<void>>;
  /** Reads an object; undefined when it is absent. */
  get(key: string): Promise<PlatformOutcome<Uint8Array | undefined>>;
  /** Lists the keys that start with a prefix, in key order. */
  list(prefix: string): Promise<PlatformOutcome<ReadonlyArray<string>>>;
  /** Deletes an object; succeeds when it is absent. */
  delete(key: string): Promise<PlatformOutcome<void>>;
}
