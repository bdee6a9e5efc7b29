import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";
import type { UsageFigures } from "../../generated/snipepath/v1/records_pb.ts";
import type { FactKind, FactValue } from "./told_state.ts";

/** How facts of one kind merge and spread. */
export interface FactRule<Kind extends FactKind> {
  /**
   * `origin`: the origin's latest version replaces its earlier ones, and the fact ends with the origin.
   * `originKept`: the same, but the fact outlives its origin.
   * `shared`: belongs to no origin; values of any origin are joined by key.
   */
  readonly scope: "origin" | "originKept" | "shared";
  /** Joins a held and an arrived value; any order of arrivals gives the same result. */
  readonly join: (
    held: FactValue<Kind>,
    arrived: FactValue<Kind>,
  ) => FactValue<Kind>;
  /** Whether the change from one value to the next must not wait for a batch. */
  readonly isUrgent: (
    held: FactValue<Kind> | undefined,
    arrived: FactValue<Kind>,
  ) => boolean;
  /** Shortest time between two tellings of one key by its origin, in milliseconds. */
  readonly minimumIntervalMilliseconds: number;
}

/** Rules of all kinds. */
export const FACT_RULES: { readonly [Kind in FactKind]: FactRule<Kind> } = {
  node: {
    scope: "origin",
    join: takeArrived,
    isUrgent: (held, arrived) =>
      held === undefined || held.leaving !== arrived.leaving,
    minimumIntervalMilliseconds: 0,
  },
  backendServer: {
    scope: "origin",
    join: takeArrived,
    isUrgent: (held, arrived) =>
      held?.leaving !== arrived.leaving || held.reachable !== arrived.reachable,
    minimumIntervalMilliseconds: 0,
  },
  keyWithdrawal: {
    scope: "shared",
    join: takeEarliestWithdrawal,
    isUrgent: always,
    minimumIntervalMilliseconds: 0,
  },
  configuration: {
    scope: "shared",
    join: takeHighestRevision,
    isUrgent: always,
    minimumIntervalMilliseconds: 0,
  },
  weightVersion: {
    scope: "shared",
    join: takeNewestWeights,
    isUrgent: always,
    minimumIntervalMilliseconds: 0,
  },
  usage: {
    scope: "originKept",
    join: takeMaximumUsage,
    isUrgent: never,
    minimumIntervalMilliseconds: 5000,
  },
  step: {
    scope: "origin",
    join: takeArrived,
    isUrgent: (held, arrived) => held?.ended !== arrived.ended,
    minimumIntervalMilliseconds: 500,
  },
  serviceReceived: {
    scope: "origin",
    join: takeArrived,
    isUrgent: never,
    minimumIntervalMilliseconds: 1000,
  },
};

/**
 * Returns whether a fact's value belongs to no origin.
 * @param kind - The fact's kind.
 */
export function isShared(kind: FactKind): boolean {
  return FACT_RULES[kind].scope === "shared";
}

/**
 * Joins two values of one kind by the kind's rule.
 * @param held - The value held so far.
 * @param arrived - The value that arrived; must be of the same kind.
 * @example
 * ```ts
 * const value = joinValues(heldFact.value, arrivedFact.value);
 * ```
 */
export function joinValues(
  held: Fact["value"],
  arrived: Fact["value"],
): Fact["value"] {
  if (arrived.case === undefined || arrived.case === "retraction") {
    return arrived;
  }
  if (held.case !== arrived.case) return arrived;
  const rule = FACT_RULES[arrived.case] as FactRule<FactKind>;
  const value = rule.join(held.value, arrived.value);
  if (value === held.value) return held;
  if (value === arrived.value) return arrived;
  return { case: arrived.case, value } as Fact["value"];
}

/**
 * Returns whether a change must be told at once.
 * @param held - The value held before.
 * @param arrived - The new value.
 */
export function isUrgentChange(
  held: Fact["value"] | undefined,
  arrived: Fact["value"],
): boolean {
  if (arrived.case === undefined || arrived.case === "retraction") return false;
  const rule = FACT_RULES[arrived.case] as FactRule<FactKind>;
  const before = held?.case === arrived.case ? held.value : undefined;
  return rule.isUrgent(before, arrived.value);
}

function takeArrived<Value>(_held: Value, arrived: Value): Value {
  return arrived;
}

function always(): boolean {
  return true;
}

function never(): boolean {
  return false;
}

function takeEarliestWithdrawal(
  held: FactValue<"keyWithdrawal">,
  arrived: FactValue<"keyWithdrawal">,
): FactValue<"keyWithdrawal"> {
  const isEarlier =
    arrived.withdrawnAtUnixMilliseconds < held.withdrawnAtUnixMilliseconds;
  return isEarlier ? arrived : held;
}

function takeHighestRevision(
  held: FactValue<"configuration">,
  arrived: FactValue<"configuration">,
): FactValue<"configuration"> {
  const heldRevision = held.record?.revision ?? 0n;
  const arrivedRevision = arrived.record?.revision ?? 0n;
  if (arrivedRevision !== heldRevision) {
    return arrivedRevision > heldRevision ? arrived : held;
  }
  const isGreater = (arrived.record?.digest ?? "") >
    (held.record?.digest ?? "");
  return isGreater ? arrived : held;
}

function takeNewestWeights(
  held: FactValue<"weightVersion">,
  arrived: FactValue<"weightVersion">,
): FactValue<"weightVersion"> {
  if (arrived.newestVersion !== held.newestVersion) {
    return arrived.newestVersion > held.newestVersion ? arrived : held;
  }
  return arrived.location > held.location ? arrived : held;
}

function takeMaximumUsage(
  held: FactValue<"usage">,
  arrived: FactValue<"usage">,
): FactValue<"usage"> {
  const heldFigures = held.figures;
  const arrivedFigures = arrived.figures;
  if (heldFigures === undefined) return arrived;
  if (arrivedFigures === undefined) return held;
  if (isCovered(arrivedFigures, heldFigures)) return held;
  if (isCovered(heldFigures, arrivedFigures)) return arrived;
  return {
    ...arrived,
    figures: {
      ...arrivedFigures,
      requests: maximum(heldFigures.requests, arrivedFigures.requests),
      promptTokens: maximum(
        heldFigures.promptTokens,
        arrivedFigures.promptTokens,
      ),
      generatedTokens: maximum(
        heldFigures.generatedTokens,
        arrivedFigures.generatedTokens,
      ),
    },
  };
}

function isCovered(figures: UsageFigures, other: UsageFigures): boolean {
  return figures.requests <= other.requests &&
    figures.promptTokens <= other.promptTokens &&
    figures.generatedTokens <= other.generatedTokens;
}

function maximum(left: bigint, right: bigint): bigint {
  return left > right ? left : right;
}
