import type { Clock } from "../utilities/clock.ts";
import type { EngineAvailability } from "./engine_availability.ts";
import type { EngineRequirements } from "./engine_request.ts";
import type { EngineUseReport } from "./engine_use_report.ts";

/** Wait for an engine from which a sample is reported. */
const LONG_WAIT_MILLISECONDS = 5000;
/** Interval between two checks. */
const CHECK_MILLISECONDS = 5000;

/** A sample that waits for an engine. */
export interface ReportedWaiter {
  readonly requirements: EngineRequirements;
  readonly requirementsKey: string;
  /** Monotonic time, in milliseconds, since which it waits. */
  readonly waitsSince: number;
}

/** The engines that could run the waiting samples, and where waits are reported. */
export interface LongWaitReportOptions {
  readonly clock: Pick<Clock, "monotonic">;
  readonly availability: EngineAvailability;
  readonly report: EngineUseReport | undefined;
  readonly listWaiting: () => ReadonlyArray<ReportedWaiter>;
}

/** Reports what samples require that have waited long for an engine, and which engines meet it. */
export class LongWaitReport {
  readonly #options: LongWaitReportOptions;
  #checkedAt = 0;

  /** @param options - The engines and the report. */
  constructor(options: LongWaitReportOptions) {
    this.#options = options;
  }

  /** Reports long waits, one line for samples with equal requirements. */
  check(): void {
    const { clock, availability, report, listWaiting } = this.#options;
    const now = clock.monotonic();
    if (now - this.#checkedAt < CHECK_MILLISECONDS) return;
    const late = listWaiting().filter(({ waitsSince }) =>
      now - waitsSince >= LONG_WAIT_MILLISECONDS
    );
    this.#checkedAt = now;
    for (const samples of groupByKey(late).values()) {
      const [{ requirements }] = samples;
      const { service, model, minimumVersion } = requirements;
      const since = samples.map(({ waitsSince }) => waitsSince);
      report?.recordLongWait({
        service,
        model,
        minimumVersion,
        samples: samples.length,
        milliseconds: now - Math.min(...since),
        ...availability.countEngines(requirements),
      });
    }
  }
}

type NonEmpty<Item> = [Item, ...Item[]];

function groupByKey(
  waiters: ReadonlyArray<ReportedWaiter>,
): ReadonlyMap<string, NonEmpty<ReportedWaiter>> {
  const groups = new Map<string, NonEmpty<ReportedWaiter>>();
  for (const waiter of waiters) {
    const known = groups.get(waiter.requirementsKey);
    if (known === undefined) groups.set(waiter.requirementsKey, [waiter]);
    else known.push(waiter);
  }
  return groups;
}
