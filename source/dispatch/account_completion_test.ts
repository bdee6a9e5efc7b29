import test from "ava";
import {
  accountCompletion,
  type CompletionTimes,
} from "./account_completion.ts";

const USAGE = { promptTokens: 100, generatedTokens: 50, cachedTokens: 60 };
const NORMAL_TIMES: CompletionTimes = {
  totalMilliseconds: 620,
  firstTokenMilliseconds: 20,
  serverTokenMilliseconds: 12,
  serviceTokenMilliseconds: 12,
  promptTokenMilliseconds: 0.2,
};

const CASES: Readonly<Record<string, CompletionTimes>> = {
  "a normal completion": NORMAL_TIMES,
  "queueing at the engine": {
    ...NORMAL_TIMES,
    totalMilliseconds: 1620,
    firstTokenMilliseconds: 1020,
  },
  "a server five times slower": {
    ...NORMAL_TIMES,
    totalMilliseconds: 3020,
    serverTokenMilliseconds: 60,
  },
  "a slightly slower server": {
    ...NORMAL_TIMES,
    totalMilliseconds: 720,
    serverTokenMilliseconds: 14,
  },
  "queueing at a server five times slower": {
    ...NORMAL_TIMES,
    totalMilliseconds: 4020,
    firstTokenMilliseconds: 1020,
    serverTokenMilliseconds: 60,
  },
};

for (const [name, times] of Object.entries(CASES)) {
  test(`time of a completion is attributed to its causes: ${name}`, (t) => {
    const shares: Record<string, number> = {};
    const ledger = {
      add: (cause: string, milliseconds: number): void => {
        shares[cause] = Math.round((shares[cause] ?? 0) + milliseconds);
      },
      close: (): void => {},
    };
    accountCompletion(ledger, USAGE, times);
    t.snapshot(shares);
  });
}
