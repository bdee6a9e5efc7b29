import type { DurableTable } from "../platform/durable_table.ts";
import type { NodeRecord } from "./node_record.ts";
import { NODE_TABLE, readNodeRecord } from "./node_record_row.ts";

/**
 * Reads the record that an earlier process of a node wrote last.
 * @param table - The store.
 * @param node - Name of the node.
 * @returns The record, or undefined without one; `unreadable` when the store does not return it.
 * @example
 * ```ts
 * const record = await readEarlierRecord(table, settings.node);
 * ```
 */
export async function readEarlierRecord(
  table: Pick<DurableTable, "read">,
  node: string,
): Promise<NodeRecord | undefined | "unreadable"> {
  const outcome = await table.read(NODE_TABLE, { partition: node });
  if (outcome.kind !== "ok") return "unreadable";
  const row = outcome.value.rows.find(({ key }) => key === node);
  return row === undefined ? undefined : readNodeRecord(node, row.value);
}
