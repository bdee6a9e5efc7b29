import fc from "fast-check";
import test from "ava";
import { request } from "undici";
import {
  createDispatchBench,
  type DispatchBench,
} from "../../stand_ins/dispatch/dispatch_bench.ts";
import { startPlainEntry } from "../../stand_ins/dispatch/plain_entry.ts";
import { startEngine } from "../../stand_ins/engine/start_engine.ts";
import { startPlainService } from "../../stand_ins/plain_service/start_plain_service.ts";
import { pickRequestHeaders } from "../backends/forwarded_headers.ts";
import { digestPrefixes } from "../backends/prefix_digest.ts";

const SEED = 11;
const LONG_PROMPT = "a long prompt that every school sends ".repeat(20);
const FORWARDED_HEADERS: ReadonlyArray<string> = [
  "accept",
  "accept-encoding",
  "accept-language",
  "connection",
  "content-encoding",
  "content-language",
  "content-length",
  "content-type",
  "host",
  "if-match",
  "if-modified-since",
  "if-none-match",
  "if-unmodified-since",
  "range",
  "traceparent",
  "transfer-encoding",
  "x-request-id",
];

test("equal prompts of two organisations share no prefix digest", (t) => {
  const organisation = fc.string({ minLength: 1, maxLength: 12 });
  const prompt = fc.string({ minLength: 64, maxLength: 600 });
  fc.assert(
    fc.property(organisation, organisation, prompt, (one, other, text) => {
      fc.pre(one !== other);
      const known = new Set(digestPrefixes(one, text));
      return !digestPrefixes(other, text).some((digest) => known.has(digest));
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.pass();
});

async function runFor(
  bench: DispatchBench,
  organisation: string,
): Promise<number> {
  const outcome = await bench.dispatcher.runCompletion(
    bench.completion({ organisation, prompt: LONG_PROMPT }),
  );
  return outcome.kind === "finished" ? outcome.usage.cachedTokens : NaN;
}

test("a cached prefix is used only for its own organisation", async (t) => {
  const engine = await startEngine();
  t.teardown(() => engine.close());
  const bench = createDispatchBench();
  t.teardown(() => bench.close());
  bench.servers.set({ address: engine.address });
  t.is(await runFor(bench, "school-1"), 0);
  t.true(await runFor(bench, "school-1") > 0);
  t.is(await runFor(bench, "school-2"), 0);
  t.is(await runFor(bench, "open"), 0);
});

test("concurrent equal prompts run once for each organisation, retries included", async (t) => {
  const organisations = ["school-1", "school-2", "school-3", "open"];
  const broken = await startEngine({ fastErrors: true });
  t.teardown(() => broken.close());
  const engine = await startEngine();
  t.teardown(() => engine.close());
  const bench = createDispatchBench({ policy: "roundRobin" });
  t.teardown(() => bench.close());
  bench.servers.set({ address: broken.address });
  bench.servers.set({ address: engine.address });
  await Promise.all(
    organisations.map((organisation) => runFor(bench, organisation)),
  );
  const salts = engine.requests()
    .filter(({ finished }) => finished)
    .map(({ body }) => JSON.parse(body)["cache_salt"]);
  t.deepEqual(salts.sort(), organisations.toSorted());
});

test("only headers of the allow list are forwarded", (t) => {
  const name = fc.oneof(
    fc.constantFrom("authorization", "cookie", "x-api-key", "proxy-connection"),
    fc.constantFrom(...FORWARDED_HEADERS),
    fc.stringMatching(/^[a-z][a-z0-9-]{0,20}$/),
  );
  fc.assert(
    fc.property(
      fc.dictionary(name, fc.string()),
      (headers) =>
        Object.keys(pickRequestHeaders(headers))
          .every((kept) => FORWARDED_HEADERS.includes(kept)),
    ),
    { seed: SEED, numRuns: 500 },
  );
  t.pass();
});

test("a backend server receives no header that might contain a key", async (t) => {
  const service = await startPlainService();
  t.teardown(() => service.close());
  const bench = createDispatchBench();
  t.teardown(() => bench.close());
  bench.servers.set({ address: service.address, service: "comenzi-app" });
  const entry = await startPlainEntry(bench);
  t.teardown(() => entry.close());
  const key = "sp_0123456789abcdef_secret";
  const header = fc.stringMatching(/^x-[a-z]{1,12}$/);
  await fc.assert(
    fc.asyncProperty(fc.array(header, { maxLength: 6 }), async (names) => {
      const answer = await request(`http://${entry.address}/orders`, {
        headers: {
          authorization: `Bearer ${key}`,
          cookie: `key=${key}`,
          "proxy-authorization": key,
          ...Object.fromEntries(names.map((name) => [name, key])),
        },
      });
      const echoed = await answer.body.text();
      return !echoed.includes(key);
    }),
    { seed: SEED, numRuns: 30 },
  );
  const seen = service.requests().flatMap(({ headers }) =>
    Object.keys(headers)
  );
  t.deepEqual(seen.filter((name) => !FORWARDED_HEADERS.includes(name)), []);
});
