import { formatTable } from "../../source/command/command_output.ts";
import type { RunMeasures, ServedMeasures } from "./measures.ts";
import type { RunResult } from "./run_scenario.ts";

/**
 * Formats the measurements of a run as text.
 * @param name - Name of the scenario, and policies.
 * @param result - Result of the run.
 */
export function formatResult(name: string, result: RunResult): string {
  const { measures } = result;
  const rows = measures.served.map(formatServed);
  return [
    `== ${name}`,
    formatTable(
      [
        "organisation",
        "class",
        "requests",
        "answered",
        "refused",
        "lost",
        "p50 ms",
        "p99 ms",
        "target met",
      ],
      rows,
    ),
    formatWorst(measures),
    formatTrainer(measures),
    `refusals: ${JSON.stringify(measures.refusals)}`,
    `condition named: ${result.condition || "none"} (${
      result.isConditionRight ? "hit" : "miss"
    })`,
  ].join("\n");
}

function formatServed(served: ServedMeasures): ReadonlyArray<string> {
  return [
    served.organisation,
    served.classOfWork,
    String(served.requests),
    String(served.answered),
    String(served.refused),
    String(served.lost),
    String(served.p50),
    String(served.p99),
    formatShare(served.shareMet),
  ];
}

function formatWorst(measures: RunMeasures): string {
  const { worst } = measures;
  if (worst === undefined) return "no organisation was served";
  return `worst served: ${worst.organisation}, ${worst.classOfWork}: ${
    formatShare(worst.shareMet)
  } met, p99 ${worst.p99} ms; median ${formatShare(measures.medianShareMet)}`;
}

function formatTrainer({ trainer }: RunMeasures): string {
  if (trainer === undefined) return "no trainer";
  return `trainer: ${trainer.wholeSteps} of ${trainer.steps} steps whole, p50 ${
    Math.round(trainer.stepP50)
  } ms, longest ${Math.round(trainer.stepLongest)} ms, idle ${
    formatShare(trainer.idleShare)
  }, mean staleness ${trainer.meanStaleness.toFixed(2)}`;
}

function formatShare(share: number): string {
  return `${(100 * share).toFixed(1)} %`;
}
