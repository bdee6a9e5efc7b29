import {
  type DescField,
  type DescMessage,
  ScalarType,
} from "@bufbuild/protobuf";
import { isMap, isScalar, isSeq, type Node } from "yaml";
import type { LocatedFault } from "./located_fault.ts";

/** What a YAML node is read as. */
export interface ReadMessageOptions {
  readonly message: DescMessage;
  /** Returns the line of an offset, counted from 1. */
  readonly toLine: (offset: number) => number;
}

/** A message read from YAML, as protobuf JSON. */
export interface MessageReading {
  readonly json: unknown;
  readonly faults: ReadonlyArray<LocatedFault>;
  /** Line of each field by its path. */
  readonly lines: ReadonlyMap<string, number>;
}

interface Reader {
  readonly toLine: (offset: number) => number;
  readonly faults: LocatedFault[];
  readonly lines: Map<string, number>;
}

interface Place {
  readonly path: string;
  readonly line: number;
}

type MaybeNode = Node | null | undefined;

const LARGEST_UNSIGNED_32 = 0xffff_ffff;

const SCALAR_CHECKS: Readonly<
  Partial<
    Record<ScalarType, { wanted: string; accepts: (value: unknown) => boolean }>
  >
> = {
  [ScalarType.STRING]: {
    wanted: "text",
    accepts: (value) => typeof value === "string",
  },
  [ScalarType.BOOL]: {
    wanted: "true or false",
    accepts: (value) => typeof value === "boolean",
  },
  [ScalarType.UINT32]: {
    wanted: `a whole number from 0 to ${LARGEST_UNSIGNED_32}`,
    accepts: (value) => isWholeNumber(value) && value <= LARGEST_UNSIGNED_32,
  },
  [ScalarType.UINT64]: {
    wanted: "a whole number from 0",
    accepts: isWholeNumber,
  },
};

/**
 * Reads a YAML node as a message, by the message's descriptor.
 * @param node - The YAML node.
 * @param options - The message and the way to lines.
 */
export function readMessage(
  node: MaybeNode,
  options: ReadMessageOptions,
): MessageReading {
  const reader: Reader = {
    toLine: options.toLine,
    faults: [],
    lines: new Map(),
  };
  const json = readFields(reader, node, options.message, { path: "", line: 1 });
  return { json, faults: reader.faults, lines: reader.lines };
}

function readFields(
  reader: Reader,
  node: MaybeNode,
  message: DescMessage,
  place: Place,
): unknown {
  if (!isMap(node)) {
    addFault(reader, place, "Not a mapping", "Write fields as NAME: VALUE");
    return {};
  }
  const json: Record<string, unknown> = {};
  for (const pair of node.items) {
    const key = pair.key as Node;
    const name = isScalar(key) ? String(key.value) : "";
    const path = place.path === "" ? name : `${place.path}.${name}`;
    const line = lineOf(reader, key, place);
    reader.lines.set(path, line);
    const field = message.fields.find((each) => each.jsonName === name);
    if (field === undefined) {
      const names = message.fields.map((each) => each.jsonName).join(", ");
      addFault(reader, { path, line }, "Unknown field", `Use one of ${names}`);
      continue;
    }
    json[name] = readField(reader, pair.value as MaybeNode, field, {
      path,
      line,
    });
  }
  return json;
}

function readField(
  reader: Reader,
  node: MaybeNode,
  field: DescField,
  place: Place,
): unknown {
  if (field.fieldKind !== "list") return readValue(reader, node, field, place);
  if (!isSeq(node)) {
    addFault(reader, place, "Not a list", "Write each element after a dash");
    return [];
  }
  return node.items.map((item, index) => {
    const path = `${place.path}[${index}]`;
    const line = lineOf(reader, item as Node, place);
    reader.lines.set(path, line);
    return readValue(reader, item as Node, field, { path, line });
  });
}

function readValue(
  reader: Reader,
  node: MaybeNode,
  field: DescField,
  place: Place,
): unknown {
  if (field.message !== undefined) {
    return readFields(reader, node, field.message, place);
  }
  if (field.enum !== undefined) return readEnum(reader, node, field, place);
  const check = SCALAR_CHECKS[field.scalar ?? ScalarType.STRING];
  const value = isScalar(node) ? node.value : undefined;
  if (check !== undefined && !check.accepts(value)) {
    addFault(reader, place, "Wrong kind of value", `Write ${check.wanted}`);
    return undefined;
  }
  return value;
}

function readEnum(
  reader: Reader,
  node: MaybeNode,
  field: DescField,
  place: Place,
): unknown {
  const values = (field.enum?.values ?? []).filter((each) => each.number !== 0);
  const text = isScalar(node) ? node.value : undefined;
  const value = values.find((each) => each.localName.toLowerCase() === text);
  if (value !== undefined) return value.name;
  const names = values.map((each) => each.localName.toLowerCase()).join(", ");
  addFault(reader, place, "Unknown value", `Use one of ${names}`);
  return undefined;
}

function addFault(
  reader: Reader,
  place: Place,
  problem: string,
  remedy: string,
): void {
  reader.faults.push({
    line: place.line,
    field: place.path,
    problem,
    remedy,
  });
}

function lineOf(reader: Reader, node: MaybeNode, place: Place): number {
  const offset = node?.range?.[0];
  return offset === undefined ? place.line : reader.toLine(offset);
}

function isWholeNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}
