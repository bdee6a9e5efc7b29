import test from "ava";
import { createDispatchBench } from "../../stand_ins/dispatch/dispatch_bench.ts";
import { startEngine } from "../../stand_ins/engine/start_engine.ts";
import {
  digestPrefixes,
  TOKENS_OF_A_BLOCK,
} from "../backends/prefix_digest.ts";
import { CacheEventReader } from "./cache_event_reader.ts";
import { CacheKnowledge } from "./cache_knowledge.ts";
import { ServerExperience } from "./server_experience.ts";

const PROMPT = "a prompt that another node has sent ".repeat(10);
const DIGESTS = digestPrefixes("school-3", PROMPT);

test("prefixes that another node caused to be cached become known", async (t) => {
  const engine = await startEngine({ cacheEventLagMilliseconds: 0 });
  t.teardown(() => engine.close());
  const other = createDispatchBench();
  t.teardown(() => other.close());
  other.servers.set({ address: engine.address });
  await other.dispatcher.runCompletion(other.completion({ prompt: PROMPT }));
  const experience = new ServerExperience();
  experience.service("dot-models")
    .noteCompletion(8, { maximumTokens: 8, now: 0 });
  const stopping = new AbortController();
  const reader = new CacheEventReader({
    context: { ...other.context, stopping: stopping.signal },
    servers: other.servers,
    engines: other.engines,
    experience,
  });
  const running = reader.run();
  const { caches } = experience;
  while (caches.newestSequence(engine.address) < DIGESTS.length) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  stopping.abort();
  await running;
  const cached = caches.cachedTokens(engine.address, DIGESTS);
  t.is(cached, DIGESTS.length * TOKENS_OF_A_BLOCK);
});

test("events late, lost, repeated and of a restarted engine", (t) => {
  const caches = new CacheKnowledge();
  const [first = "", second = ""] = DIGESTS;
  const seen: number[] = [];
  const note = (): void => {
    seen.push(caches.cachedTokens("a:1", DIGESTS) / TOKENS_OF_A_BLOCK);
  };
  caches.noteStart("a:1", "start-1");
  caches.apply("a:1", [
    { sequence: 3, kind: "stored", prefixDigest: first },
    { sequence: 7, kind: "stored", prefixDigest: second },
  ]);
  note();
  caches.apply("a:1", [{ sequence: 9, kind: "evicted", prefixDigest: second }]);
  note();
  caches.apply("a:1", [{ sequence: 7, kind: "stored", prefixDigest: second }]);
  note();
  caches.expect("a:1", DIGESTS);
  note();
  caches.noteStart("a:1", "start-2");
  note();
  t.deepEqual(seen, [2, 1, 1, DIGESTS.length, 0]);
});
