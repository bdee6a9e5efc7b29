import test from "ava";
import fc from "fast-check";
import {
  HeartbeatAge,
  isAddressable,
  isOlderHeartbeat,
} from "./heartbeat_age.ts";

const SEED = 5;
const NODES = 71;
/** Interval of heartbeats and reads with 71 nodes and low-capacity nodes among them. */
const INTERVAL_MILLISECONDS = 850;
const NAMED_MILLISECONDS = 7000;

interface Heartbeat {
  readonly node: number;
  readonly sentAt: number;
  readonly storeVersion: number;
}

/** A store whose version increases with each write, heartbeats of nodes, and one node that reads them. */
class HeartbeatModel {
  readonly #random: () => number;
  readonly #late: ReadonlyMap<number, number>;
  readonly ages = new HeartbeatAge();
  /** The last heartbeat that was read of each node, and its estimated time. */
  readonly read = new Map<number, Heartbeat & { readonly sentAfter: number }>();
  #version = 1;
  #written: (Heartbeat & { readonly writtenAt: number })[] = [];
  #known: number[] = Array.from({ length: NODES }, () => 0);
  #nextSendAt: number[];
  #nextReadAt: number[];
  #readerAt = 0;

  /**
   * @param random - Returns random numbers from 0 up to but not including 1.
   * @param late - Delay of the writes of nodes that are late, in milliseconds.
   */
  constructor(random: () => number, late: ReadonlyMap<number, number>) {
    this.#random = random;
    this.#late = late;
    this.#nextSendAt = this.#known.map(() => this.#draw());
    this.#nextReadAt = this.#known.map(() => this.#draw());
  }

  /** Lets one millisecond pass for the nodes that run. */
  step(
    now: number,
    { isRunning, canRead }: {
      readonly isRunning: (node: number) => boolean;
      readonly canRead: boolean;
    },
  ): void {
    const due = this.#written.filter(({ writtenAt }) => writtenAt === now);
    this.#version += due.length;
    for (let node = 0; node < NODES; node += 1) {
      if (!isRunning(node)) continue;
      if (this.#nextReadAt[node] === now) {
        this.#known[node] = this.#version;
        this.#nextReadAt[node] = now + INTERVAL_MILLISECONDS + this.#draw(100);
      }
      if (this.#nextSendAt[node] === now) {
        this.#nextSendAt[node] = now + INTERVAL_MILLISECONDS + this.#draw(30);
        this.#written.push({
          node,
          sentAt: now,
          storeVersion: this.#known[node] ?? 0,
          writtenAt: now + 1 + (this.#late.get(node) ?? this.#draw(20)),
        });
      }
    }
    if (!canRead || now < this.#readerAt) return;
    this.#readerAt = now + INTERVAL_MILLISECONDS;
    for (const heartbeat of this.#written) {
      if (heartbeat.writtenAt > now) continue;
      const { node, storeVersion } = heartbeat;
      const sentAfter = this.ages.findTimeBefore(storeVersion);
      this.read.set(node, { ...heartbeat, sentAfter });
    }
    this.#written = this.#written.filter(({ writtenAt }) => writtenAt > now);
    this.ages.recordRead(this.#version, now);
  }

  #draw(maximum = INTERVAL_MILLISECONDS): number {
    return Math.floor(this.#random() * maximum);
  }
}

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

test("with late writes and a reader that is away, no node is named for more than 7 s after its end, and running nodes are named", (t) => {
  const ended = [0, 1, 2];
  fc.assert(
    fc.property(
      fc.record({
        seed: fc.integer({ min: 1, max: 1_000_000 }),
        lateMilliseconds: fc.integer({ min: 0, max: 6000 }),
        endAt: fc.integer({ min: 4000, max: 8000 }),
        awayFrom: fc.integer({ min: 4000, max: 16_000 }),
        awayMilliseconds: fc.integer({ min: 0, max: 9000 }),
      }),
      ({ seed, lateMilliseconds, endAt, awayFrom, awayMilliseconds }) => {
        const late = new Map(ended.map((node) => [node, lateMilliseconds]));
        const model = new HeartbeatModel(createRandom(seed), late);
        const awayUntil = awayFrom + awayMilliseconds;
        for (let now = 0; now < 22_000; now += 1) {
          const canRead = now < awayFrom || now >= awayUntil;
          model.step(now, {
            isRunning: (node) => !ended.includes(node) || now < endAt,
            canRead,
          });
          if (!canRead || now % 50 > 0) continue;
          for (const { node, sentAt, sentAfter } of model.read.values()) {
            t.true(sentAfter <= sentAt, "a heartbeat is never dated too late");
            const isNamed = isAddressable(
              now - sentAfter,
              INTERVAL_MILLISECONDS,
            );
            const isEnded = ended.includes(node);
            if (isEnded && now > endAt + NAMED_MILLISECONDS) t.false(isNamed);
            const isSettled = now > 4000 &&
              (now < awayFrom || now > awayUntil + 4000);
            if (!isEnded && isSettled) t.true(isNamed, `${now - sentAfter}`);
          }
        }
      },
    ),
    { seed: SEED, numRuns: 20 },
  );
});

test("a heartbeat that names a version from before the first read has no known time", (t) => {
  const ages = new HeartbeatAge();
  t.is(ages.findTimeBefore(3), -Infinity);
  ages.recordRead(5, 100);
  t.is(ages.findTimeBefore(5), -Infinity);
  t.is(ages.findTimeBefore(6), 100);
  ages.recordRead(5, 200);
  t.is(ages.findTimeBefore(6), 200);
  ages.recordRead(4, 300);
  t.is(ages.findTimeBefore(6), 200);
});

test("reads are forgotten after a minute, so that memory stays bounded", (t) => {
  const ages = new HeartbeatAge();
  for (let second = 0; second < 200; second += 1) {
    ages.recordRead(second, 1000 * second);
  }
  t.is(ages.findTimeBefore(140), -Infinity);
  t.is(ages.findTimeBefore(150), 149_000);
});

const ORDERS: ReadonlyArray<{
  readonly title: string;
  readonly storeVersion: number | undefined;
  readonly known: number | undefined;
  readonly expected: boolean;
}> = [
  { title: "earlier", storeVersion: 4, known: 5, expected: true },
  { title: "same", storeVersion: 5, known: 5, expected: false },
  { title: "later", storeVersion: 6, known: 5, expected: false },
  { title: "no", storeVersion: undefined, known: 5, expected: false },
  { title: "no known", storeVersion: 4, known: undefined, expected: false },
  { title: "a new process's", storeVersion: 0, known: 5, expected: false },
];

for (const { title, storeVersion, known, expected } of ORDERS) {
  test(`a heartbeat with ${title} version is ${expected ? "" : "not "}older`, (t) => {
    t.is(
      isOlderHeartbeat({ storeVersion }, { storeVersion: known }),
      expected,
    );
  });
}
