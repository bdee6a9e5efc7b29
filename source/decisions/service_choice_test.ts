import test from "ava";
import fc from "fast-check";
import {
  chooseService,
  mustLeaveService,
  selectShare,
  type SplitService,
} from "./service_choice.ts";

const SEED = 23;
const SAMPLE: Parameters<typeof chooseService>[1] = {
  draw: 0.5,
  waitedMilliseconds: 0,
  begunAt: undefined,
};

function toService(
  service: string,
  weight: number,
  more: Partial<SplitService> = {},
): SplitService {
  return { service, weight, isUsable: true, hasFree: true, ...more };
}

test("samples are divided by the weights", (t) => {
  const services = [toService("a", 25), toService("b", 75)];
  const counts = { a: 0, b: 0 };
  for (let index = 0; index < 1000; index += 1) {
    const service = chooseService(services, { ...SAMPLE, draw: index / 1000 });
    counts[service as "a" | "b"] += 1;
  }
  t.deepEqual(counts, { a: 250, b: 750 });
});

const FULL = { hasFree: false };
const GONE = { isUsable: false, hasFree: false };

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly services: ReadonlyArray<SplitService>;
  readonly sample?: Partial<typeof SAMPLE>;
  readonly expected: string;
}> = [
  {
    title: "waits a while for its own service",
    services: [toService("a", 9, FULL), toService("b", 1)],
    sample: { waitedMilliseconds: 999 },
    expected: "a",
  },
  {
    title: "that has waited uses a free engine of another service",
    services: [toService("a", 9, FULL), toService("b", 1)],
    sample: { waitedMilliseconds: 1000 },
    expected: "b",
  },
  {
    title: "that has waited stays while no service has a free engine",
    services: [toService("a", 9, FULL), toService("b", 1, FULL)],
    sample: { waitedMilliseconds: 5000 },
    expected: "a",
  },
  {
    title: "does not wait for a service without engines for it",
    services: [toService("a", 9, GONE), toService("b", 1, FULL)],
    expected: "b",
  },
  {
    title: "never uses a service without weight",
    services: [toService("a", 9, FULL), toService("b", 0)],
    sample: { waitedMilliseconds: 5000 },
    expected: "a",
  },
  {
    title: "with a text goes on where it began",
    services: [toService("a", 9), toService("b", 1)],
    sample: { begunAt: "b" },
    expected: "b",
  },
  {
    title: "with a text leaves a service whose engines have gone",
    services: [toService("a", 9), toService("b", 1, GONE)],
    sample: { begunAt: "b" },
    expected: "a",
  },
];

for (const { title, services, sample, expected } of CASES) {
  test(`a sample ${title}`, (t) => {
    t.is(chooseService(services, { ...SAMPLE, ...sample }), expected);
  });
}

test("after the patience no sample waits while a service of its route has a free engine", (t) => {
  const service = fc.record({
    weight: fc.integer({ min: 1, max: 100 }),
    isUsable: fc.boolean(),
    isFree: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.array(service, { minLength: 1, maxLength: 5 }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (states, draw) => {
        const services = states.map(({ weight, isUsable, isFree }, index) =>
          toService(`s${index}`, weight, {
            isUsable,
            hasFree: isUsable && isFree,
          })
        );
        const chosen = chooseService(services, {
          draw,
          waitedMilliseconds: 1000,
          begunAt: undefined,
        });
        const hasFree = services.some((each) => each.hasFree);
        return !hasFree ||
          services.some((each) => each.service === chosen && each.hasFree);
      },
    ),
    { seed: SEED },
  );
  t.pass();
});

test("weights that are not above 0 get nothing", (t) => {
  const shares = [{ name: "a", weight: -2 }, { name: "b", weight: 1 }];
  for (const draw of [0, 0.5, 0.99]) {
    t.is(selectShare(shares, draw)?.name, "b");
  }
  t.is(selectShare([], 0.5), undefined);
});

const LEAVING_CASES: ReadonlyArray<{
  readonly title: string;
  readonly services: ReadonlyArray<SplitService>;
  readonly expected: boolean;
}> = [
  {
    title: "stays where its route still sends requests",
    services: [toService("a", 1), toService("b", 99)],
    expected: false,
  },
  {
    title: "leaves a service that the route does not name",
    services: [toService("b", 1)],
    expected: true,
  },
  {
    title: "leaves a service without weight",
    services: [toService("a", 0), toService("b", 1)],
    expected: true,
  },
  {
    title: "leaves a service without servers for another one",
    services: [toService("a", 9, GONE), toService("b", 1)],
    expected: true,
  },
  {
    title: "stays while no service of its route has servers",
    services: [toService("a", 9, GONE), toService("b", 1, GONE)],
    expected: false,
  },
  {
    title: "stays while no service has a weight",
    services: [toService("a", 0), toService("b", 0)],
    expected: false,
  },
];

for (const { title, services, expected } of LEAVING_CASES) {
  test(`a request that waits ${title}`, (t) => {
    const isUsable = (name: string): boolean =>
      services.some((each) => each.service === name && each.isUsable);
    t.is(mustLeaveService(services, { current: "a", isUsable }), expected);
  });
}
