import winston from "winston";
import {
  EVENT_CATALOGUE,
  type EventFields,
  type EventName,
} from "./event_catalogue.ts";
import type { EventLevel } from "./event_definition.ts";

/** Writes log events, each with its number in the event catalogue. */
export interface EventLog {
  /** Writes one event of the catalogue with its fields. */
  emit<Name extends EventName>(name: Name, fields: EventFields<Name>): void;
}

/** Source and lowest level of a process's log. */
export interface EventLogOptions {
  /** Name of the process, written into each line. */
  readonly source: string;
  /** Lowest level of the events that are written. */
  readonly lowestLevel: EventLevel;
}

/**
 * Creates a log that writes JSON lines to the standard error stream.
 * @param options - Source of the log, and lowest level of the events that are written.
 * @example
 * ```ts
 * const log = createEventLog({ source: "node-1", lowestLevel: "info" });
 * log.emit("nodeStopped", { reason: "SIGTERM" });
 * ```
 */
export function createEventLog(options: EventLogOptions): EventLog {
  const logger = winston.createLogger({
    level: options.lowestLevel,
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    defaultMeta: { source: options.source },
    transports: [
      new winston.transports.Console({
        stderrLevels: ["error", "warn", "info", "debug"],
      }),
    ],
  });
  return {
    emit(name, fields): void {
      const { number, level, message } = EVENT_CATALOGUE[name];
      logger.log({ level, message, number, event: name, ...fields });
    },
  };
}

/** One event recorded by a recording log. */
export interface RecordedEvent {
  readonly name: EventName;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Records events in memory, for tests. */
export class RecordingEventLog implements EventLog {
  /** Events recorded so far. */
  readonly events: RecordedEvent[] = [];

  /** Records one event. */
  emit<Name extends EventName>(name: Name, fields: EventFields<Name>): void {
    this.events.push({ name, fields });
  }
}
