import { command, number, option, run, string } from "cmd-ts";
import { DEFAULT_RETRY_BUDGET } from "../../source/decisions/retry_budget.ts";
import type { RetryBudgetOptions } from "../../source/decisions/retry_budget.ts";
import type { DispatcherResult } from "./messages.ts";
import { runTrial, type TrialEvent } from "./trial.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const CAPACITY_PER_SECOND = 30;
const OUTAGE_START_MILLISECONDS = 6_000;
const WARMUP_MILLISECONDS = 3_000;

const BUDGETS: Readonly<Record<string, RetryBudgetOptions>> = {
  budget: DEFAULT_RETRY_BUDGET,
  unbounded: { share: 1_000, maximumSaved: 1_000_000 },
};

const overload = command({
  name: "overload",
  description:
    "Measure goodput at multiples of capacity, or recovery after an outage, with and without the retry budget",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    factors: option({
      type: string,
      long: "factors",
      defaultValue: () => "0.8,1,1.5,3",
    }),
    seconds: option({ type: number, long: "seconds", defaultValue: () => 9 }),
    outage: option({
      type: number,
      long: "outage-seconds",
      defaultValue: () => 0,
      description: "Seconds for which all engines respond with errors",
    }),
  },
  handler: async ({ seed, factors, seconds, outage }) => {
    console.log(`seed ${seed}, capacity ${CAPACITY_PER_SECOND} a second`);
    for (const factor of factors.split(",").map(Number)) {
      for (const [name, retryBudget] of Object.entries(BUDGETS)) {
        const result = await runTrial({
          policy: "expectedFinish",
          seed,
          engine: { batchSlots: 4, maximumWaiting: 8 },
          readsCacheEvents: false,
          events: toEvents(outage),
          retryBudget,
          load: {
            requestsPerSecond: factor * CAPACITY_PER_SECOND,
            durationMilliseconds: seconds * MILLISECONDS_PER_SECOND,
            warmupMilliseconds: WARMUP_MILLISECONDS,
            deadlineMilliseconds: 3_000,
            organisations: 8,
            sharedPromptCharacters: 2_400,
            minimumTokens: 32,
            maximumTokens: 96,
          },
        });
        const measuredSeconds = seconds - WARMUP_MILLISECONDS / 1_000;
        console.log(toRow(`${factor}x ${name}`, result, measuredSeconds));
        if (outage > 0) console.log(toSeconds(result));
      }
    }
  },
});

function toEvents(outageSeconds: number): ReadonlyArray<TrialEvent> {
  if (outageSeconds === 0) return [];
  const end = OUTAGE_START_MILLISECONDS +
    outageSeconds * MILLISECONDS_PER_SECOND;
  return [0, 1, 2].flatMap((domain) =>
    [0, 1].flatMap((index) => [
      toEvent(OUTAGE_START_MILLISECONDS, { domain, index, fastErrors: true }),
      toEvent(end, { domain, index, fastErrors: false }),
    ])
  );
}

function toEvent(
  atMilliseconds: number,
  { domain, index, fastErrors }: {
    readonly domain: number;
    readonly index: number;
    readonly fastErrors: boolean;
  },
): TrialEvent {
  const command = { kind: "behave", index, options: { fastErrors } } as const;
  return { atMilliseconds, domain, command };
}

function toRow(
  name: string,
  result: DispatcherResult,
  seconds: number,
): string {
  const goodput = (result.inTime / seconds).toFixed(1);
  const sent = (result.attempts / result.arrived).toFixed(2);
  return `${name.padEnd(16)} goodput ${goodput}/s of ` +
    `${(result.arrived / seconds).toFixed(1)}/s, ${sent} sent for each, ` +
    JSON.stringify(result.refusals);
}

function toSeconds(result: DispatcherResult): string {
  const shares = result.seconds.map(({ arrived, inTime }) =>
    arrived === 0 ? "-" : String(Math.round(100 * inTime / arrived))
  );
  return `  in time by second of arrival (%): ${shares.join(" ")}`;
}

void run(overload, process.argv.slice(2));
