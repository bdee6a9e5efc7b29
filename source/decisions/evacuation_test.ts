import test from "ava";
import { createRandomSource } from "../utilities/random_source.ts";
import {
  type EvacuableServer,
  isServiceEvacuated,
  toEvacuationRetry,
} from "./evacuation.ts";

const CALLERS = 1000;
const SEED = 7;

function toServers(text: string): ReadonlyArray<EvacuableServer> {
  return text.split(" ").filter((word) => word !== "").map((word) => ({
    failureDomain: word.slice(0, 1),
    takesRequests: !word.endsWith("-"),
  }));
}

// A minus sign marks a server that takes no requests for another reason.
const CASES: ReadonlyArray<{
  readonly servers: string;
  readonly evacuated: string;
  readonly expected: boolean;
}> = [
  { servers: "", evacuated: "a", expected: false },
  { servers: "a b", evacuated: "", expected: false },
  { servers: "a b", evacuated: "a", expected: false },
  { servers: "a a", evacuated: "a", expected: true },
  { servers: "a b", evacuated: "ab", expected: true },
  { servers: "a b-", evacuated: "a", expected: true },
  { servers: "a- a-", evacuated: "a", expected: false },
  { servers: "a- b", evacuated: "a", expected: false },
];

for (const { servers, evacuated, expected } of CASES) {
  test(`servers "${servers}" with "${evacuated}" evacuated: ${expected}`, (t) => {
    const domains = new Set(evacuated);
    t.is(isServiceEvacuated(toServers(servers), domains), expected);
  });
}

test("callers that are refused in the same moment do not return in the same moment", (t) => {
  const random = createRandomSource(SEED);
  const returns = Array.from(
    { length: CALLERS },
    () => toEvacuationRetry(random.next()),
  );
  const perTenth = new Map<number, number>();
  for (const time of returns) {
    const tenth = Math.floor(time / 100);
    perTenth.set(tenth, (perTenth.get(tenth) ?? 0) + 1);
  }
  t.true(Math.min(...returns) >= 500 && Math.max(...returns) <= 1500);
  // An even spread over 1 s has 100 callers in each tenth of it.
  t.true(Math.max(...perTenth.values()) < 200);
});
