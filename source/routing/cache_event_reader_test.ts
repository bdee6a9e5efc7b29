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
  const bench = createDispatchBench();
  t.teardown(() => bench.close());
  bench.servers.set({ address: engine.address });
  await bench.dispatcher.runCompletion(
    bench.completion({ prompt: PROMPT }),
  );
  const statistics = new RoutingStatistics();
  statistics.service("dot-models")
    .recordCompletion(8, { maximumTokens: 8, now: 0 });
  const stopping = new AbortController();
  const reader = new CacheEventReader({
    context: { ...bench.context, stopping: stopping.signal },
    servers: bench.servers,
    engines: bench.engines,
    statistics,
  });
  const running = reader.run();
  const { caches } = statistics;
  while (caches.newestSequence(engine.address) < DIGESTS.length) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  stopping.abort();
  await running;
  const cachedTokens = caches.cachedTokens(engine.address, DIGESTS);
  t.is(cachedTokens, DIGESTS.length * TOKENS_PER_BLOCK);
});

test("the index applies events despite gaps, ignores repeated ones, and forgets the prefixes of a restarted engine", (t) => {
  const index = new PrefixCacheIndex();
  const [first = "", second = ""] = DIGESTS;
  const cachedBlockCounts: number[] = [];
  const recordCachedBlockCount = (): void => {
    cachedBlockCounts.push(
      index.cachedTokens("a:1", DIGESTS) / TOKENS_PER_BLOCK,
    );
  };
  index.recordStart("a:1", "start-1");
  index.apply("a:1", [
    { sequence: 3, kind: "stored", prefixDigest: first },
    { sequence: 7, kind: "stored", prefixDigest: second },
  ]);
  recordCachedBlockCount();
  index.apply("a:1", [{ sequence: 9, kind: "evicted", prefixDigest: second }]);
  recordCachedBlockCount();
  index.apply("a:1", [{ sequence: 7, kind: "stored", prefixDigest: second }]);
  recordCachedBlockCount();
  index.assumeCached("a:1", DIGESTS);
  recordCachedBlockCount();
  index.recordStart("a:1", "start-2");
  recordCachedBlockCount();
  t.deepEqual(cachedBlockCounts, [2, 1, 1, DIGESTS.length, 0]);
});
