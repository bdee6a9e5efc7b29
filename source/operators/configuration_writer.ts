import type { Declaration } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { ConfigurationRecord } from "../../generated/snipepath/v1/records_pb.ts";

/** Revision that a change replaces, and the operator's comment on the change. */
export interface ApplyRequest {
  /** Revision that must be the current one; otherwise the change is a conflict. */
  readonly expectedRevision: number;
  /** Operator's comment, stored with the revision. */
  readonly note: string;
}

/** Result of applying a change. */
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
  /** Stores a declaration as the next revision by a compare-and-set on the current revision. */
  apply(
    declaration: Declaration,
    request: ApplyRequest,
  ): Promise<ApplyOutcome>;
  /** Returns up to `maximum` revisions, newest first. */
  history(maximum: number): Promise<ReadonlyArray<ConfigurationRecord>>;
}
