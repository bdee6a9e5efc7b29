import {
  type DescMessage,
  fromJsonString,
  type MessageShape,
} from "@bufbuild/protobuf";

/**
 * Reads a record from a row's value; undefined when the value is not one.
 * @param schema - The record's schema.
 * @param value - The row's value.
 * @example
 * ```ts
 * const record = readRecord(WeightRecordSchema, row.value);
 * ```
 */
export function readRecord<Schema extends DescMessage>(
  schema: Schema,
  value: string,
): MessageShape<Schema> | undefined {
  try {
    return fromJsonString(schema, value, { ignoreUnknownFields: true });
  } catch {
    return undefined;
  }
}
