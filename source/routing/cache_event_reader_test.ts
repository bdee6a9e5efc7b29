import test from "ava";
import { createDispatchBench } from "../../stand_ins/dispatch/dispatch_bench.ts";
import { startEngine } from "../../stand_ins/engine/start_engine.ts";
import { digestPrefixes, TOKENS_PER_BLOCK } from "../backends/prefix_digest.ts";
import { CacheEventReader } from "./cache_event_reader.ts";
import { PrefixCacheIndex } from "./prefix_cache_index.ts";
import { RoutingStatistics } from "./routing_statistics.ts";

const PROMPT = "a prompt that another node has sent ".repeat(10);
const DIGESTS = digestPrefixes("school-3", PROMPT);

test("the reader learns of prefixes that another node's prompts put into the cache", async (t) => {
  const engine = await startEngine({ cacheEventLagMilliseconds: 0 });
  t.teardown(() => engine.close());
  const otherNode = createDispatchBench();
  t.teardown(() => otherNode.close());
  otherNode.servers.set({ address: engine.address });
  await otherNode.dispatcher.runCompletion(
    otherNode.completion({ prompt: PROMPT }),
  );
  const statistics = new RoutingStatistics();
  statistics.service("dot-models")
    .recordCompletion(8, { maximumTokens: 8, now: 0 });
  const stopping = new AbortController();
  const reader = new CacheEventReader({
    context: { ...otherNode.context, stopping: stopping.signal },
    servers: otherNode.servers,
    engines: otherNode.engines,
    statistics,
  });
  const running = reader.run();
  const { caches } = statistics;
  while (caches.newestSequence(engine.address) < DIGESTS.length) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  stopping.abort();
  await running;
  const cached = caches.cachedTokens(engine.address, DIGESTS);
  t.is(cached, DIGESTS.length * TOKENS_PER_BLOCK);
});

test("the index handles late, lost and repeated events, and a restarted engine", (t) => {
  const caches = new PrefixCacheIndex();
  const [first = "", second = ""] = DIGESTS;
  const cachedBlocks: number[] = [];
  const recordCachedBlocks = (): void => {
    cachedBlocks.push(caches.cachedTokens("a:1", DIGESTS) / TOKENS_PER_BLOCK);
  };
  caches.recordStart("a:1", "start-1");
  caches.apply("a:1", [
    { sequence: 3, kind: "stored", prefixDigest: first },
    { sequence: 7, kind: "stored", prefixDigest: second },
  ]);
  recordCachedBlocks();
  caches.apply("a:1", [{ sequence: 9, kind: "evicted", prefixDigest: second }]);
  recordCachedBlocks();
  caches.apply("a:1", [{ sequence: 7, kind: "stored", prefixDigest: second }]);
  recordCachedBlocks();
  caches.assumeCached("a:1", DIGESTS);
  recordCachedBlocks();
  caches.recordStart("a:1", "start-2");
  recordCachedBlocks();
  t.deepEqual(cachedBlocks, [2, 1, 1, DIGESTS.length, 0]);
});
