import {
  type DescMessage,
  fromJsonString,
  type MessageShape,
} from "@bufbuild/protobuf";

/**
 * Parses a record from a row's value; returns undefined when the value is not valid.
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
