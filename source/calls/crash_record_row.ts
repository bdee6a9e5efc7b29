import type { CrashRecord } from "../decisions/crash_suspicion.ts";
import { isCount, isUnixTime } from "../utilities/number_ranges.ts";

type RecordTuple = readonly [
  crashes: ReadonlyArray<readonly [string, number, number]>,
  trials: number,
  triedAt: number,
];

/** Serialises a crash record. */
export function writeCrashRecord(record: CrashRecord): Buffer {
  const tuple: RecordTuple = [
    record.crashes.map(({ server, startedAt, at }) => [server, startedAt, at]),
    record.trials,
    record.triedAt,
  ];
  return Buffer.from(JSON.stringify(tuple));
}

/** Parses a crash record; returns undefined when this program did not write the row. */
export function readCrashRecord(value: Buffer): CrashRecord | undefined {
  try {
    const [crashes, trials, triedAt] = JSON.parse(
      value.toString(),
    ) as RecordTuple;
    const areCrashes = crashes.every(([server, startedAt, at]) =>
      typeof server === "string" && isUnixTime(startedAt) && isUnixTime(at)
    );
    if (!areCrashes) return undefined;
    if (!isCount(trials) || !isUnixTime(triedAt)) return undefined;
    return {
      crashes: crashes.map(([server, startedAt, at]) => ({
        server,
        startedAt,
        at,
      })),
      trials,
      triedAt,
    };
  } catch {
    return undefined;
  }
}
