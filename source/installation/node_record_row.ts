import type { EngineUseRecord, NodeRecord } from "./node_record.ts";
import {
  isAddress,
  isBetween,
  isCount,
  isUnixTime,
} from "../utilities/number_ranges.ts";
import { readStart, toProcessIdentity } from "./process_identity.ts";
import { fromWorkTuple, toWorkTuple, type WorkTuple } from "./work_record.ts";

/** Table of the nodes' records, each in a partition with its node's name. */
export const NODE_TABLE = "nodes";

/** Index before that of any usage window; nodes of an earlier version publish none. */
const NO_WINDOW = -1;
/** Version before that of any state of the store. */
const NO_VERSION = 0;
const MAXIMUM_PORT = 65_535;
/** More cores than a node can have, and a longer interval between heartbeats than nodes choose. */
const MAXIMUM_PROCESSOR_SHARE = 10_000;
const MAXIMUM_HEARTBEAT_MILLISECONDS = 600_000;
/** Port of a node that does not serve other nodes. */
const NO_PORT = 0;

// Every node reads the rows of all nodes at each heartbeat, so a record is stored as a compact
// tuple.
type RecordTuple = readonly [
  start: string,
  failureDomain: string,
  processorShare: number,
  callerAddress: string,
  isServing: number,
  heartbeatMilliseconds: number,
  engineUse?: EngineUseRecord | null,
  usageSettledThrough?: number,
  isRunningSteps?: number,
  wallOffset?: number | null,
  leavingServers?: ReadonlyArray<
    readonly [identifier: string, startedAt: number]
  >,
  limits?: ReadonlyArray<
    readonly [
      identifier: string,
      startedAt: number,
      requestsPerSecond: number,
      demand?: number,
    ]
  >,
  isCutOff?: number,
  peerPort?: number,
  storeVersion?: number,
  /** Services with a warm-up that the node uses, and whether its demand is high. */
  demands?: ReadonlyArray<readonly [service: string, isHigh: number]>,
  /** What waits and runs by rank and organisation, while something waits. */
  work?: WorkTuple,
];

/** Serialises a node's record. */
export function writeNodeRecord(record: NodeRecord): Buffer {
  const leaving = record.leavingServers.map(({ identifier, startedAt }) =>
    [identifier, startedAt] as const
  );
  const base = [
    readStart(record.nodeStart),
    record.failureDomain,
    record.processorShare,
    record.callerAddress,
    Number(record.isServing),
    Math.round(record.heartbeatMilliseconds),
    record.engineUse ?? null,
    record.usageSettledThrough,
    Number(record.isRunningSteps),
  ] as const;
  const wallOffset = record.wallOffset === undefined
    ? null
    : Math.round(record.wallOffset);
  const limits = record.limits.map(
    ({ identifier, startedAt, requestsPerSecond, demand }) =>
      demand === undefined
        ? [identifier, startedAt, requestsPerSecond] as const
        : [
          identifier,
          startedAt,
          requestsPerSecond,
          Number(demand.toFixed(2)),
        ] as const,
  );
  const tuple: RecordTuple = [
    ...base,
    wallOffset,
    leaving,
    limits,
    Number(record.isCutOff),
    readPort(record.peerAddress),
    record.storeVersion ?? NO_VERSION,
  ];
  const demands = [...record.demands ?? []].map(([service, demand]) =>
    [service, Number(demand === "high")] as const
  );
  const { work } = record;
  const more = work !== undefined
    ? [demands, toWorkTuple(work)]
    : demands.length > 0
    ? [demands]
    : [];
  return Buffer.from(JSON.stringify([...tuple, ...more]));
}

// Nodes serve callers and other nodes at the same host.
function toPeerAddress(
  callerAddress: string,
  port: number | undefined,
): string | undefined {
  if (port === undefined || port === NO_PORT) return undefined;
  return `${callerAddress.slice(0, callerAddress.lastIndexOf(":"))}:${port}`;
}

function readPort(address: string | undefined): number {
  return address === undefined
    ? NO_PORT
    : Number(address.slice(address.lastIndexOf(":") + 1));
}

/**
 * Parses a node's record.
 * @returns The record; undefined when this program did not write the row.
 */
export function readNodeRecord(
  node: string,
  value: Buffer,
): NodeRecord | undefined {
  try {
    const tuple = JSON.parse(value.toString()) as RecordTuple;
    if (!isRecordTuple(tuple)) return undefined;
    const [start, failureDomain, processorShare, callerAddress] = tuple;
    return {
      node,
      nodeStart: toProcessIdentity(node, start),
      failureDomain,
      processorShare,
      callerAddress,
      isServing: tuple[4] === 1,
      isCutOff: tuple[12] === 1,
      peerAddress: toPeerAddress(callerAddress, tuple[13]),
      heartbeatMilliseconds: tuple[5],
      storeVersion: tuple[14],
      engineUse: tuple[6] ?? undefined,
      usageSettledThrough: tuple[7] ?? NO_WINDOW,
      isRunningSteps: tuple[8] === 1,
      wallOffset: tuple[9] ?? undefined,
      leavingServers: (tuple[10] ?? []).map(([identifier, startedAt]) => ({
        identifier,
        startedAt,
      })),
      limits: (tuple[11] ?? []).map(
        ([identifier, startedAt, requestsPerSecond, demand]) => ({
          identifier,
          startedAt,
          requestsPerSecond,
          demand,
        }),
      ),
      demands: new Map(
        (tuple[15] ?? []).map(([service, isHigh]) => [
          service,
          isHigh === 1 ? "high" : "low",
        ]),
      ),
      work: fromWorkTuple(tuple[16]),
    };
  } catch {
    // A row that this program did not write describes no node.
    return undefined;
  }
}

// Whether a row has the types that this program writes, as what nodes publish is used without
// further checks.
function isRecordTuple(tuple: RecordTuple): boolean {
  const [start, failureDomain, share, address, , heartbeat] = tuple;
  const [window, , wallOffset] = tuple.slice(7);
  const [leaving, limits, , port, storeVersion] = tuple.slice(10);
  return [start, failureDomain, address].every(isText) &&
    isEngineUse(tuple[6] ?? undefined) &&
    isBetween(share, { maximum: MAXIMUM_PROCESSOR_SHARE }) &&
    isBetween(heartbeat, {
      minimum: 1,
      maximum: MAXIMUM_HEARTBEAT_MILLISECONDS,
    }) &&
    isAddress(address) &&
    isOptional(window, (value) => isCount(value) || value === NO_WINDOW) &&
    isOptional(wallOffset, isWallOffset) &&
    isOptional(port, (value) => isCount(value, MAXIMUM_PORT)) &&
    isOptional(storeVersion, isCount) &&
    areRows(
      leaving,
      ([identifier, startedAt]) => isText(identifier) && isUnixTime(startedAt),
    ) &&
    areRows(
      limits,
      ([identifier, startedAt, limit, demand]) =>
        isText(identifier) && isUnixTime(startedAt) && isAmount(limit) &&
        isOptional(demand, isAmount),
    );
}

function isEngineUse(use: EngineUseRecord | undefined): boolean {
  if (use === undefined) return true;
  return Object.values(use.running).every((count) => isCount(count)) &&
    Array.isArray(use.loads) &&
    areRows(
      use.loads,
      ([engine, model, version]) =>
        isText(engine) && isText(model) && isCount(version),
    );
}

function areRows(
  rows: unknown,
  isRow: (row: ReadonlyArray<unknown>) => boolean,
): boolean {
  if (rows === undefined || rows === null) return true;
  return Array.isArray(rows) &&
    rows.every((row) => Array.isArray(row) && isRow(row));
}

function isText(value: unknown): boolean {
  return typeof value === "string";
}

function isAmount(value: unknown): boolean {
  return isBetween(value, { maximum: Number.MAX_SAFE_INTEGER });
}

function isWallOffset(value: unknown): boolean {
  const maximum = Number.MAX_SAFE_INTEGER;
  return isBetween(value, { minimum: -maximum, maximum });
}

function isOptional(
  value: unknown,
  isValid: (value: unknown) => boolean,
): boolean {
  return value === undefined || value === null || isValid(value);
}
