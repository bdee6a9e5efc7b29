import type {
  CommitResult,
  RowTransaction,
} from "../../source/platform/durable_table.ts";
import type { PlatformOutcome } from "../../source/platform/platform_outcome.ts";
import { PartitionedTable } from "./partitioned_table.ts";

/** Time after which a node gives up a commit that is not answered. */
const GIVEN_UP_MILLISECONDS = 250;

/** A node's path to a table whose commits may take effect late. */
export class LateTable extends PartitionedTable {
  /** Time after which commits take effect, whose callers get no answer; 0 for at once. */
  lateMilliseconds = 0;
  /** Number of commits that were made late. */
  lateCommits = 0;

  /** Commits a transaction, now or late. */
  override async commit(
    transaction: RowTransaction,
  ): Promise<PlatformOutcome<CommitResult>> {
    if (this.lateMilliseconds === 0) return await super.commit(transaction);
    this.lateCommits += 1;
    setTimeout(
      () => void this.commitPastCut(transaction),
      this.lateMilliseconds,
    );
    await new Promise((resolve) => setTimeout(resolve, GIVEN_UP_MILLISECONDS));
    return { kind: "unknown", reason: "The response was late" };
  }
}
