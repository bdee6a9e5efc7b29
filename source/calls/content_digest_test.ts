import test from "ava";
import { type RequestContent, toContentDigest } from "./content_digest.ts";

const REQUEST: RequestContent = {
  organisation: "school",
  host: "h",
  method: "POST",
  path: "/orders/7?page=1",
  body: Buffer.from("body"),
};

const DIFFERENCES: Readonly<Record<string, Partial<RequestContent>>> = {
  caller: { organisation: "library" },
  host: { host: "i" },
  method: { method: "PUT" },
  path: { path: "/orders/8?page=1" },
  query: { path: "/orders/7?page=2" },
  body: { body: Buffer.from("bodies") },
};

test("requests with the same content have the same digest", (t) => {
  const again = { ...REQUEST, body: Buffer.from("body") };
  t.is(toContentDigest(REQUEST), toContentDigest(again));
  t.is(toContentDigest(REQUEST).length, 22);
});

for (const [title, difference] of Object.entries(DIFFERENCES)) {
  test(`requests with another ${title} have another digest`, (t) => {
    const other = { ...REQUEST, ...difference };
    t.not(toContentDigest(REQUEST), toContentDigest(other));
  });
}
