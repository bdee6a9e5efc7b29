import { create } from "@bufbuild/protobuf";
import {
  type UsageFigures,
  UsageFiguresSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { ReportedFigures } from "../platform/usage_report_client.ts";

/** Figures that are all zero. */
export const NO_FIGURES: ReportedFigures = {
  requests: 0,
  promptTokens: 0,
  generatedTokens: 0,
};

/** Combines two sets of figures field by field. */
export function combineFigures(
  left: ReportedFigures,
  right: ReportedFigures,
  combine: (left: number, right: number) => number,
): ReportedFigures {
  return {
    requests: combine(left.requests, right.requests),
    promptTokens: combine(left.promptTokens, right.promptTokens),
    generatedTokens: combine(left.generatedTokens, right.generatedTokens),
  };
}

/** Returns the sum of two sets of figures. */
export function addFigures(
  left: ReportedFigures,
  right: ReportedFigures,
): ReportedFigures {
  return combineFigures(left, right, (a, b) => a + b);
}

/** Subtracts the second figures from the first; each field is at least zero. */
export function subtractFigures(
  left: ReportedFigures,
  right: ReportedFigures,
): ReportedFigures {
  return combineFigures(left, right, (a, b) => Math.max(0, a - b));
}

/** Returns whether all figures are zero. */
export function isZero(figures: ReportedFigures): boolean {
  return figures.requests === 0 && figures.promptTokens === 0 &&
    figures.generatedTokens === 0;
}

/** Converts figures to a protobuf message. */
export function toMessage(figures: ReportedFigures): UsageFigures {
  return create(UsageFiguresSchema, {
    requests: BigInt(figures.requests),
    promptTokens: BigInt(figures.promptTokens),
    generatedTokens: BigInt(figures.generatedTokens),
  });
}

/** Converts a protobuf message to figures; an absent message yields zeros. */
export function fromMessage(
  message: UsageFigures | undefined,
): ReportedFigures {
  if (message === undefined) return NO_FIGURES;
  return {
    requests: Number(message.requests),
    promptTokens: Number(message.promptTokens),
    generatedTokens: Number(message.generatedTokens),
  };
}
