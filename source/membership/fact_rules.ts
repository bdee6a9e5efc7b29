import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";
import type { UsageFigures } from "../../generated/snipepath/v1/records_pb.ts";
import type { FactKind, FactValue } from "./replicated_facts.ts";

/** Defines how facts of one kind are merged and published. */
export interface FactRule<Kind extends FactKind> {
  /**
   * `origin`: the origin's latest version replaces its earlier ones, and the fact is removed when the origin expires.
   * `originKept`: the origin's latest version replaces its earlier ones, and the fact remains when the origin expires.
   * `shared`: the fact belongs to no origin; the values that different origins publish are merged by key.
   */
  readonly scope: "origin" | "originKept" | "shared";
  /** Merges a held and a received value; the result doesn't depend on the order in which values are received. */
  readonly merge: (
    held: FactValue<Kind>,
    received: FactValue<Kind>,
  ) => FactValue<Kind>;
  /** Returns whether the change from the held to the received value must be sent before the next batch is due. */
  readonly isUrgent: (
    held: FactValue<Kind> | undefined,
    received: FactValue<Kind>,
  ) => boolean;
  /** Minimum interval between two publications of one key by its origin, in milliseconds. */
  readonly minimumIntervalMilliseconds: number;
}

/** Merge and publication rules of each kind of fact. */
export const FACT_RULES: { readonly [Kind in FactKind]: FactRule<Kind> } = {
  node: {
    scope: "origin",
    merge: selectReceived,
    isUrgent: (held, received) =>
      held === undefined || held.leaving !== received.leaving,
    minimumIntervalMilliseconds: 0,
  },
  backendServer: {
    scope: "origin",
    merge: selectReceived,
    isUrgent: (held, received) =>
      held?.leaving !== received.leaving ||
      held.reachable !== received.reachable,
    minimumIntervalMilliseconds: 0,
  },
  keyWithdrawal: {
    scope: "shared",
    merge: selectEarliestWithdrawal,
    isUrgent: always,
    minimumIntervalMilliseconds: 0,
  },
  configuration: {
    scope: "shared",
    merge: selectHighestRevision,
    isUrgent: always,
    minimumIntervalMilliseconds: 0,
  },
  weightVersion: {
    scope: "shared",
    merge: selectNewestWeights,
    isUrgent: always,
    minimumIntervalMilliseconds: 0,
  },
  usage: {
    scope: "originKept",
    merge: mergeUsage,
    isUrgent: never,
    minimumIntervalMilliseconds: 5000,
  },
  step: {
    scope: "origin",
    merge: selectReceived,
    isUrgent: (held, received) => held?.ended !== received.ended,
    minimumIntervalMilliseconds: 500,
  },
  serviceReceived: {
    scope: "origin",
    merge: selectReceived,
    isUrgent: never,
    minimumIntervalMilliseconds: 1000,
  },
};

/**
 * Returns whether facts of a kind belong to no origin.
 * @param kind - The kind of fact.
 */
export function isShared(kind: FactKind): boolean {
  return FACT_RULES[kind].scope === "shared";
}

/**
 * Merges two values of one kind by the rule of the kind.
 * @param held - The value held so far.
 * @param received - The received value; a retraction or a value of another kind replaces the held
 * one.
 * @example
 * ```ts
 * const value = mergeValues(heldFact.value, receivedFact.value);
 * ```
 */
export function mergeValues(
  held: Fact["value"],
  received: Fact["value"],
): Fact["value"] {
  if (received.case === undefined || received.case === "retraction") {
    return received;
  }
  if (held.case !== received.case) return received;
  const rule = FACT_RULES[received.case] as FactRule<FactKind>;
  const value = rule.merge(held.value, received.value);
  if (value === held.value) return held;
  if (value === received.value) return received;
  return { case: received.case, value } as Fact["value"];
}

/**
 * Returns whether a change must be sent before the next batch is due.
 * @param held - The value held before.
 * @param received - The new value.
 */
export function isUrgentChange(
  held: Fact["value"] | undefined,
  received: Fact["value"],
): boolean {
  if (received.case === undefined || received.case === "retraction") {
    return false;
  }
  const rule = FACT_RULES[received.case] as FactRule<FactKind>;
  const before = held?.case === received.case ? held.value : undefined;
  return rule.isUrgent(before, received.value);
}

function selectReceived<Value>(_held: Value, received: Value): Value {
  return received;
}

function always(): boolean {
  return true;
}

function never(): boolean {
  return false;
}

function selectEarliestWithdrawal(
  held: FactValue<"keyWithdrawal">,
  received: FactValue<"keyWithdrawal">,
): FactValue<"keyWithdrawal"> {
  const isEarlier =
    received.withdrawnAtUnixMilliseconds < held.withdrawnAtUnixMilliseconds;
  return isEarlier ? received : held;
}

function selectHighestRevision(
  held: FactValue<"configuration">,
  received: FactValue<"configuration">,
): FactValue<"configuration"> {
  const heldRevision = held.record?.revision ?? 0n;
  const receivedRevision = received.record?.revision ?? 0n;
  if (receivedRevision !== heldRevision) {
    return receivedRevision > heldRevision ? received : held;
  }
  const isGreater = (received.record?.digest ?? "") >
    (held.record?.digest ?? "");
  return isGreater ? received : held;
}

function selectNewestWeights(
  held: FactValue<"weightVersion">,
  received: FactValue<"weightVersion">,
): FactValue<"weightVersion"> {
  if (received.newestVersion !== held.newestVersion) {
    return received.newestVersion > held.newestVersion ? received : held;
  }
  return received.location > held.location ? received : held;
}

function mergeUsage(
  held: FactValue<"usage">,
  received: FactValue<"usage">,
): FactValue<"usage"> {
  const heldFigures = held.figures;
  const receivedFigures = received.figures;
  if (heldFigures === undefined) return received;
  if (receivedFigures === undefined) return held;
  if (isAtMost(receivedFigures, heldFigures)) return held;
  if (isAtMost(heldFigures, receivedFigures)) return received;
  return {
    ...received,
    figures: {
      ...receivedFigures,
      requests: maximum(heldFigures.requests, receivedFigures.requests),
      promptTokens: maximum(
        heldFigures.promptTokens,
        receivedFigures.promptTokens,
      ),
      generatedTokens: maximum(
        heldFigures.generatedTokens,
        receivedFigures.generatedTokens,
      ),
    },
  };
}

function isAtMost(figures: UsageFigures, other: UsageFigures): boolean {
  return figures.requests <= other.requests &&
    figures.promptTokens <= other.promptTokens &&
    figures.generatedTokens <= other.generatedTokens;
}

function maximum(left: bigint, right: bigint): bigint {
  return left > right ? left : right;
}
