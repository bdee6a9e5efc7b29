import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { Client } from "undici";
import {
  createEntryBench,
  type EntryBench,
} from "../../../stand_ins/entry/entry_bench.ts";
import {
  MemoryPlatform,
  type PlatformFault,
} from "../../../stand_ins/entry/memory_platform.ts";
import type { DispatchRefusal } from "../../dispatch/dispatcher.ts";
import { ManualClock } from "../../utilities/manual_clock.ts";

const RANDOM_SEED = 20261204;
const LONG_MILLISECONDS = 10_000_000;

interface Answer {
  readonly status: number;
  readonly text: string;
  readonly error: string;
  readonly ran: string;
  readonly replayed: string;
}

interface NodePair {
  readonly clock: ManualClock;
  readonly first: EntryBench;
  readonly second: EntryBench;
  readonly key: string;
}

const FAULTS: ReadonlyArray<PlatformFault> = [
  "down",
  "loseAnswer",
  "hang",
  "late",
];
const PLATFORM_CALLS_PER_CLAIMED_CALL = 4;

for (const fault of FAULTS) {
  for (let call = 0; call <= PLATFORM_CALLS_PER_CLAIMED_CALL; call += 1) {
    for (const lasting of [false, true]) {
      const title = `platform call ${call} is ${fault}${
        lasting ? ", then down" : ""
      }`;
      test(`a retry through another node runs the call at most once: ${title}`, async (t) => {
        const pair = await startNodePair(t);
        const { platform } = pair.first;
        platform.nextFaults.push(
          ...Array.from({ length: call }, () => "none" as const),
          fault,
        );
        platform.fault = lasting ? "down" : "none";
        const first = await send(pair, pair.first, {});
        const retry = await send(pair, pair.second, {});
        platform.fault = "none";
        platform.releaseLateCalls();
        await pair.clock.advance(3000);
        const last = await send(pair, pair.second, {});
        checkRuns(t, pair, [first, retry, last]);
        t.snapshot([first, retry, last].map(describe));
      });
    }
  }
}

const OUTCOMES: Readonly<Record<string, DispatchRefusal>> = {
  "certainly did not run": {
    kind: "notRun",
    reason: "noCapacity",
    detail: "No server",
    retryAfterMilliseconds: 100,
  },
  "may have run": {
    kind: "unknown",
    reason: "backendFailure",
    detail: "Cut",
    retryAfterMilliseconds: 0,
  },
};

for (const [title, refusal] of Object.entries(OUTCOMES)) {
  test(`a repetition of a call that ${title}`, async (t) => {
    const pair = await startNodePair(t);
    pair.first.dispatcher.refusal = refusal;
    const first = await send(pair, pair.first, {});
    const retry = await send(pair, pair.second, {});
    t.snapshot([first, retry].map(describe));
  });
}

test("a repetition is a conflict while the first call runs, then gets its answer", async (t) => {
  const pair = await startNodePair(t);
  let release = (): void => {};
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  pair.first.dispatcher.beforeSecondHalf = () => released;
  const first = send(pair, pair.first, {});
  await waitUntil(() => pair.first.dispatcher.calls.length === 1);
  const during = await send(pair, pair.second, {});
  release();
  const answers = [await first, during, await send(pair, pair.second, {})];
  t.snapshot(answers.map(describe));
  checkRuns(t, pair, answers);
});

test("a different request, organisation or route with the same key is not the same call", async (t) => {
  const pair = await startNodePair(t);
  const library = await issueKey(pair, "library");
  t.snapshot([
    describe(await send(pair, pair.first, {})),
    describe(await send(pair, pair.second, { body: "other" })),
    describe(await send(pair, pair.second, { path: "/orders/other" })),
    describe(await send(pair, pair.second, { path: "/orders/school/1" })),
    describe(await send(pair, pair.second, { key: library })),
  ]);
});

test("a repetition of a call whose answer is too large to store is a conflict", async (t) => {
  const pair = await startNodePair(t);
  const body = "x".repeat(300_000);
  const first = await send(pair, pair.first, { body });
  const retry = await send(pair, pair.second, { body });
  t.is(first.text.length, body.length);
  t.snapshot(describe(retry));
});

test("malformed idempotency keys are refused", async (t) => {
  const pair = await startNodePair(t);
  const tooLong = await send(pair, pair.first, {
    idempotencyKey: "k".repeat(129),
  });
  const withSpace = await send(pair, pair.first, { idempotencyKey: "a b" });
  t.snapshot([tooLong, withSpace].map(describe));
});

test("random faults and repetitions through two nodes run each call at most once", async (t) => {
  const fault = fc.constantFrom<PlatformFault>("none", ...FAULTS);
  const step = fc.record({
    node: fc.constantFrom("first" as const, "second" as const),
    faults: fc.array(fault, { maxLength: 6 }),
    key: fc.constantFrom("a", "b"),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 2, maxLength: 6 }),
      async (steps) => {
        const pair = await startNodePair(t);
        const answers = new Map<string, Answer[]>();
        for (const { node, faults, key } of steps) {
          pair[node].platform.nextFaults.push(...faults);
          const answer = await send(pair, pair[node], {
            idempotencyKey: key,
            body: key,
          });
          answers.set(key, [...answers.get(key) ?? [], answer]);
          pair[node].platform.nextFaults.length = 0;
          if (faults.length % 2 === 0) pair[node].platform.releaseLateCalls();
        }
        for (const [key, given] of answers) checkRuns(t, pair, given, key);
        await pair.first.stop();
        await pair.second.stop();
      },
    ),
    { seed: RANDOM_SEED, numRuns: 20 },
  );
});

function checkRuns(
  t: ExecutionContext,
  pair: NodePair,
  answers: ReadonlyArray<Answer>,
  body = "thirty",
): void {
  const calls = [
    ...pair.first.dispatcher.calls,
    ...pair.second.dispatcher.calls,
  ];
  const runs = calls.filter((call) => call.body === body).length;
  t.true(runs <= 1, `${runs} runs`);
  if (answers.every(({ ran }) => ran === "notRun")) t.is(runs, 0);
  if (answers.some(({ status }) => status === 200)) t.is(runs, 1);
  for (const answer of answers) {
    if (answer.status === 200) t.is(answer.text, body);
  }
}

async function startNodePair(t: ExecutionContext): Promise<NodePair> {
  const clock = new ManualClock();
  const platform = new MemoryPlatform();
  const [first, second] = ["node-1", "node-2"].map((node) =>
    createEntryBench({
      node,
      clock,
      platform: new MemoryPlatform(platform.state),
      settings: { keyFreshnessMilliseconds: LONG_MILLISECONDS },
    })
  ) as [EntryBench, EntryBench];
  for (const bench of [first, second]) {
    bench.address = await bench.server.listen();
    await bench.keys.refresh();
    t.teardown(() => bench.stop());
  }
  const pair = { clock, first, second, key: "" };
  const key = await issueKey(pair, "school");
  for (const bench of [first, second]) await bench.keys.resolve(key);
  return { ...pair, key };
}

async function issueKey(pair: NodePair, organisation: string): Promise<string> {
  const given = await pair.first.authority.issue({
    organisation,
    trainer: false,
  });
  return given.kind === "given" ? given.key : "";
}

async function send(
  pair: NodePair,
  bench: EntryBench,
  call: {
    readonly key?: string;
    readonly idempotencyKey?: string;
    readonly path?: string;
    readonly body?: string;
  },
): Promise<Answer> {
  const client = new Client(`http://${bench.address}`);
  let isDone = false;
  const answering = client.request({
    method: "PUT",
    path: call.path ?? "/orders/1",
    headers: {
      "authorization": `Bearer ${call.key ?? pair.key}`,
      "idempotency-key": call.idempotencyKey ?? "order-1",
    },
    body: call.body ?? "thirty",
  }).then(async (answer) => {
    const text = await answer.body.text();
    isDone = true;
    const isRefusal = text.startsWith("{");
    const { error, ran } = isRefusal
      ? JSON.parse(text)
      : { error: "", ran: "" };
    const replayed = String(answer.headers["idempotent-replayed"] ?? "");
    return { status: answer.statusCode, text, error, ran, replayed };
  });
  for (let count = 0; count < 5000 && !isDone; count += 1) {
    await new Promise((next) => setTimeout(next, 1));
    if (count % 5 === 4) await pair.clock.advance(50);
  }
  const answer = await answering;
  await client.close();
  return answer;
}

function describe({ status, error, ran, replayed, text }: Answer): string {
  if (error !== "") return `${status} ${error} ${ran}`;
  return `${status} ${text.slice(0, 20)} ${replayed}`.trim();
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let count = 0; count < 4000 && !condition(); count += 1) {
    await new Promise((next) => setTimeout(next, 5));
  }
}
