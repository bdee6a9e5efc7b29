import type { Declaration } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { ConfigurationRecord } from "../../generated/snipepath/v1/records_pb.ts";

/** What a change was made against. */
export interface ApplyRequest {
  readonly expectedRevision: number;
  /** Kept in the history. */
  readonly note: string;
}

/** What became of a change. */
export type ApplyOutcome =
  | {
    readonly kind: "accepted" | "conflict" | "unchanged";
    readonly record: ConfigurationRecord;
  }
  | {
    readonly kind: "unavailable";
    readonly reason: string;
    /** Whether the change may have taken effect. */
    readonly unknown: boolean;
  };

/** Writes configuration revisions. */
export interface ConfigurationWriter {
  /** Puts a declaration in force by a compare-and-set on the revision. */
  apply(
    declaration: Declaration,
    request: ApplyRequest,
  ): Promise<ApplyOutcome>;
  /** Returns the newest revisions, newest first. */
  history(maximum: number): Promise<ReadonlyArray<ConfigurationRecord>>;
}
