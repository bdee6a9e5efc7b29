import test from "ava";
import { RecentIdentifiers } from "./recent_identifiers.ts";

const REQUEST = {
  identifier: "1",
  organisation: "a",
  method: "POST",
  path: "/calls/1",
  body: Buffer.from("body"),
};

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly change: Partial<typeof REQUEST>;
  readonly address?: string;
  readonly expected: boolean;
}> = [
  { title: "the same request again", change: {}, expected: false },
  {
    title: "a request with another identifier",
    change: { identifier: "2", path: "/calls/2" },
    expected: false,
  },
  {
    title: "the identifier of another organisation",
    change: { organisation: "b" },
    expected: true,
  },
  {
    title: "the identifier of a request for another path",
    change: { path: "/calls/2" },
    expected: true,
  },
  {
    title: "the identifier of a request with another body",
    change: { body: Buffer.alloc(0) },
    expected: true,
  },
  {
    title: "the identifier of a request to another server",
    change: { organisation: "b" },
    address: "other:1",
    expected: false,
  },
];

for (const { title, change, address = "server:1", expected } of CASES) {
  const verb = expected ? "counts" : "does not count";
  test(`${title} ${verb} as reused`, (t) => {
    const identifiers = new RecentIdentifiers();
    t.false(identifiers.record("server:1", REQUEST));
    t.is(identifiers.record(address, { ...REQUEST, ...change }), expected);
  });
}
