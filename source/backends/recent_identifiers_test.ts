import test from "ava";
import { RecentIdentifiers, type SendDoubt } from "./recent_identifiers.ts";

const SERVER = "server:1";

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly identifier?: string;
  readonly address?: string;
  readonly isRefused?: boolean;
  readonly expected: SendDoubt;
}> = [
  { title: "an identifier that was sent before", expected: "ofAll" },
  {
    title: "an identifier that was refused",
    isRefused: true,
    expected: "ofRefusals",
  },
  { title: "another identifier", identifier: "2", expected: "none" },
  {
    title: "an identifier that was sent to another server",
    address: "other:1",
    expected: "none",
  },
];

for (const { title, expected, ...options } of CASES) {
  const { identifier = "1", address = SERVER, isRefused = false } = options;
  test(`the doubt about ${title} is ${expected}`, (t) => {
    const identifiers = new RecentIdentifiers();
    t.is(identifiers.recordSend(SERVER, "1"), "none");
    if (isRefused) identifiers.recordRefusal(SERVER, "1");
    t.is(identifiers.recordSend(address, identifier), expected);
  });
}

test("any response is in doubt once a send was not refused", (t) => {
  const identifiers = new RecentIdentifiers();
  t.is(identifiers.recordSend(SERVER, "1"), "none");
  identifiers.recordRefusal(SERVER, "1");
  t.is(identifiers.recordSend(SERVER, "1"), "ofRefusals");
  t.is(identifiers.recordSend(SERVER, "1"), "ofAll", "the second one runs");
  identifiers.recordRefusal(SERVER, "1");
  t.is(identifiers.recordSend(SERVER, "1"), "ofAll");
});
