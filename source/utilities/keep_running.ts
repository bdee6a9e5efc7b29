import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "./clock.ts";

/** First pause after a failure. */
const MINIMUM_PAUSE_MILLISECONDS = 200;
/** Maximum pause between two starts of a loop that fails again and again. */
const MAXIMUM_PAUSE_MILLISECONDS = 5000;

/** Dependencies of a loop that is started again. */
export interface KeepRunningOptions {
  readonly clock: Clock;
  readonly stopping: AbortSignal;
  /** Called with each error that ended the loop. */
  readonly onFault: (error: unknown) => void;
}

/**
 * Runs a loop, and starts it again after an unexpected error, until it ends by itself or the node
 * stops.
 * @example
 * ```ts
 * await keepRunning(() => follower.run(), { clock, stopping, onFault });
 * ```
 */
export async function keepRunning(
  run: () => Promise<void>,
  { clock, stopping, onFault }: KeepRunningOptions,
): Promise<void> {
  let pauseMilliseconds = MINIMUM_PAUSE_MILLISECONDS;
  for (;;) {
    try {
      return await run();
    } catch (error) {
      onFault(error);
      if (stopping.aborted) return;
      await clock.sleep(pauseMilliseconds, stopping);
      pauseMilliseconds = Math.min(
        2 * pauseMilliseconds,
        MAXIMUM_PAUSE_MILLISECONDS,
      );
    }
  }
}

/**
 * Runs the loops of one part, each of which is started again alone, as the other ones go on.
 * @param loops - Loops by the name under which their errors are logged.
 */
export async function keepAllRunning(
  loops: Readonly<Record<string, () => Promise<void>>>,
  { clock, log, stopping }: {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly stopping: AbortSignal;
  },
): Promise<void> {
  await Promise.all(
    Object.entries(loops).map(([task, run]) =>
      keepRunning(run, {
        clock,
        stopping,
        onFault: (error) =>
          log.emit("backgroundTaskFailed", {
            task,
            detail: describeFault(error),
          }),
      })
    ),
  );
}

/** Returns the stack of an error, or another thrown value as text. */
export function describeFault(error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error);
}
