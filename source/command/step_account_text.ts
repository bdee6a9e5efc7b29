import {
  type StepAccount,
  type StepAccounts,
  TIME_CAUSES,
  type TimeByCause,
} from "../observability/step_account.ts";
import { formatTable } from "./command_output.ts";

/**
 * Formats where the time of steps went: totals, trainers, causes, and each step with a late or failed
 * group.
 * @param accounts - The account of all steps.
 * @example
 * ```ts
 * write(formatAccounts(accountForSteps(records, { endsAt })));
 * ```
 */
export function formatAccounts(accounts: StepAccounts): string {
  const { timely, late, failed, unavoidable, eventMilliseconds } = accounts;
  return [
    `${timely} groups timely, ${late} late, ${failed} failed; ${unavoidable} of these could not be in time, as an event takes ${
      eventMilliseconds.toFixed(1)
    } ms`,
    formatTrainers(accounts),
    formatCauses(accounts),
    formatSeconds(accounts),
    formatSteps(accounts.steps),
  ].filter((part) => part !== "").join("\n\n");
}

function formatTrainers({ trainers }: StepAccounts): string {
  return formatTable(
    ["trainer", "steps", "never submitted", "last behind"],
    trainers.map((trainer) => [
      trainer.model,
      String(trainer.steps),
      String(trainer.missedSteps),
      toMilliseconds(trainer.behindMilliseconds),
    ]),
  );
}

function formatCauses({ lateByCause }: StepAccounts): string {
  const total = TIME_CAUSES.reduce((sum, cause) => sum + lateByCause[cause], 0);
  if (total === 0) return "";
  return formatTable(
    ["cause of late groups", "time", "share"],
    sortCauses(lateByCause).map(([cause, milliseconds]) => [
      cause,
      toMilliseconds(milliseconds),
      `${Math.round(100 * milliseconds / total)} %`,
    ]),
  );
}

function formatSeconds({ lateBySecond }: StepAccounts): string {
  if (lateBySecond.length === 0) return "";
  return formatTable(
    ["submitted in second", "late groups", "largest causes"],
    lateBySecond.map(({ second, groups, byCause }) => [
      String(second),
      String(groups),
      describeCauses(byCause, 3),
    ]),
  );
}

function formatSteps(steps: ReadonlyArray<StepAccount>): string {
  const missed = steps.filter(({ groups }) =>
    groups.some(({ outcome }) => outcome !== "timely")
  );
  if (missed.length === 0) return "";
  return formatTable(
    [
      "step",
      "trainer",
      "number",
      "behind",
      "late group",
      "took",
      "least",
      "causes",
    ],
    missed.flatMap((step) =>
      step.groups.filter(({ outcome }) => outcome !== "timely").map((group) => [
        step.step,
        step.model,
        String(step.number),
        toMilliseconds(step.behindMilliseconds),
        group.group,
        group.completeMilliseconds === undefined
          ? "failed"
          : toMilliseconds(group.completeMilliseconds),
        toMilliseconds(group.leastMilliseconds),
        describeCauses(group.spent, TIME_CAUSES.length),
      ])
    ),
  );
}

function describeCauses(byCause: TimeByCause, maximum: number): string {
  return sortCauses(byCause).slice(0, maximum)
    .map(([cause, milliseconds]) => `${cause} ${toMilliseconds(milliseconds)}`)
    .join(", ");
}

function sortCauses(
  byCause: TimeByCause,
): ReadonlyArray<readonly [string, number]> {
  return TIME_CAUSES.map((cause) => [cause, byCause[cause]] as const)
    .filter(([, milliseconds]) => milliseconds > 0)
    .sort(([, left], [, right]) => right - left);
}

function toMilliseconds(milliseconds: number): string {
  return `${Math.round(milliseconds)} ms`;
}
