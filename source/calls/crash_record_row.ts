import type { CrashRecord } from "../decisions/crash_suspicion.ts";

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
