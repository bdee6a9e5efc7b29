import {
  type DescField,
  type DescMessage,
  ScalarType,
} from "@bufbuild/protobuf";
import { isMap, isScalar, isSeq, type Node } from "yaml";
import type { LocatedFault } from "./located_fault.ts";

/** Message type of a YAML node, and access to line numbers. */
export interface ReadMessageOptions {
  readonly message: DescMessage;
  /** Returns the line, from 1, of an offset in the text. */
  readonly toLine: (offset: number) => number;
}

/** Message read from YAML, as protobuf JSON, with the faults found. */
export interface MessageReadResult {
  readonly json: unknown;
  readonly faults: ReadonlyArray<LocatedFault>;
  /** Line of each field, from 1, by the field's path. */
  readonly lines: ReadonlyMap<string, number>;
}

interface ReadState {
  readonly toLine: (offset: number) => number;
  readonly faults: LocatedFault[];
  readonly lines: Map<string, number>;
}

interface FieldLocation {
  readonly path: string;
  readonly line: number;
}

type OptionalNode = Node | null | undefined;

const MAXIMUM_UINT32 = 0xffff_ffff;

const SCALAR_CHECKS: Readonly<
  Partial<
    Record<
      ScalarType,
      { wanted: string; accepts: (value: unknown) => boolean }
    >
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
    wanted: `a whole number from 0 to ${MAXIMUM_UINT32}`,
    accepts: (value) => isWholeNumber(value) && value <= MAXIMUM_UINT32,
  },
  [ScalarType.UINT64]: {
    wanted: "a whole number from 0",
    accepts: isWholeNumber,
  },
};

/**
 * Converts a YAML node to protobuf JSON by the descriptor of a message.
 * @param node - YAML node to convert.
 * @param options - Message type, and access to line numbers.
 */
export function readMessage(
  node: OptionalNode,
  options: ReadMessageOptions,
): MessageReadResult {
  const state: ReadState = {
    toLine: options.toLine,
    faults: [],
    lines: new Map(),
  };
  const json = readFields(state, node, options.message, { path: "", line: 1 });
  return { json, faults: state.faults, lines: state.lines };
}

function readFields(
  state: ReadState,
  node: OptionalNode,
  message: DescMessage,
  location: FieldLocation,
): unknown {
  if (!isMap(node)) {
    addFault(state, location, "Not a mapping", "Write fields as NAME: VALUE");
    return {};
  }
  const json: Record<string, unknown> = {};
  for (const pair of node.items) {
    const key = pair.key as Node;
    const name = isScalar(key) ? String(key.value) : "";
    const path = location.path === "" ? name : `${location.path}.${name}`;
    const line = findLine(state, key, location);
    state.lines.set(path, line);
    const field = message.fields.find((each) => each.jsonName === name);
    if (field === undefined) {
      const names = message.fields.map((each) => each.jsonName).join(", ");
      addFault(state, { path, line }, "Unknown field", `Use one of ${names}`);
      continue;
    }
    json[name] = readField(state, pair.value as OptionalNode, field, {
      path,
      line,
    });
  }
  return json;
}

function readField(
  state: ReadState,
  node: OptionalNode,
  field: DescField,
  location: FieldLocation,
): unknown {
  if (field.fieldKind !== "list") {
    return readValue(state, node, field, location);
  }
  if (!isSeq(node)) {
    addFault(state, location, "Not a list", "Write each element after a dash");
    return [];
  }
  return node.items.map((item, index) => {
    const path = `${location.path}[${index}]`;
    const line = findLine(state, item as Node, location);
    state.lines.set(path, line);
    return readValue(state, item as Node, field, { path, line });
  });
}

function readValue(
  state: ReadState,
  node: OptionalNode,
  field: DescField,
  location: FieldLocation,
): unknown {
  if (field.message !== undefined) {
    return readFields(state, node, field.message, location);
  }
  if (field.enum !== undefined) return readEnum(state, node, field, location);
  const check = SCALAR_CHECKS[field.scalar ?? ScalarType.STRING];
  const value = isScalar(node) ? node.value : undefined;
  if (check !== undefined && !check.accepts(value)) {
    addFault(state, location, "Wrong type of value", `Write ${check.wanted}`);
    return undefined;
  }
  return value;
}

function readEnum(
  state: ReadState,
  node: OptionalNode,
  field: DescField,
  location: FieldLocation,
): unknown {
  const values = (field.enum?.values ?? []).filter((each) => each.number !== 0);
  const text = isScalar(node) ? node.value : undefined;
  const value = values.find((each) => each.localName.toLowerCase() === text);
  if (value !== undefined) return value.name;
  const names = values.map((each) => each.localName.toLowerCase()).join(", ");
  addFault(state, location, "Unknown value", `Use one of ${names}`);
  return undefined;
}

function addFault(
  state: ReadState,
  location: FieldLocation,
  problem: string,
  remedy: string,
): void {
  state.faults.push({
    line: location.line,
    field: location.path,
    problem,
    remedy,
  });
}

function findLine(
  state: ReadState,
  node: OptionalNode,
  location: FieldLocation,
): number {
  const offset = node?.range?.[0];
  return offset === undefined ? location.line : state.toLine(offset);
}

function isWholeNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}
