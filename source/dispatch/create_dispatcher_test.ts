import test from "ava";
import { request } from "undici";
import { createDispatchBench } from "../../stand_ins/dispatch/dispatch_bench.ts";
import { startPlainEntry } from "../../stand_ins/dispatch/plain_entry.ts";
import { generateText } from "../../stand_ins/engine/generated_text.ts";
import { startEngine } from "../../stand_ins/engine/start_engine.ts";
import { createRefusingAddress } from "../../stand_ins/raw_server/raw_server.ts";
import { startPlainService } from "../../stand_ins/plain_service/start_plain_service.ts";

test("a finished completion states its text, weight versions and server start", async (t) => {
  const engine = await startEngine({ weightVersions: [7] });
  const bench = createDispatchBench();
  bench.servers.set({ address: engine.address, weightVersions: [7] });
  const outcome = await bench.dispatcher.runCompletion(bench.completion());
  t.like(outcome, {
    kind: "finished",
    text: generateText("one two three", {
      seed: 1,
      tokens: 8,
      weightVersion: 7,
    }),
    stretches: [{ weightVersion: 7, tokens: 8 }],
    serverStart: engine.startIdentity,
  });
  await bench.close();
  await engine.close();
});

test("a completion ends as notRun for lack of capacity when no engine has the required weight version", async (t) => {
  const bench = createDispatchBench();
  bench.servers.set({ address: "127.0.0.1:1", weightVersions: [6] });
  const outcome = await bench.dispatcher.runCompletion(
    bench.completion({ minimumWeightVersion: 7 }),
  );
  t.like(outcome, { kind: "notRun", reason: "noCapacity" });
  await bench.close();
});

test("a completion moves to another engine when one refuses connections", async (t) => {
  const engine = await startEngine();
  const refusing = createRefusingAddress();
  const bench = createDispatchBench({ policy: "roundRobin" });
  bench.servers.set({ address: refusing });
  bench.servers.set({ address: engine.address });
  const outcome = await bench.dispatcher.runCompletion(bench.completion());
  t.like(outcome, { kind: "finished", server: engine.address });
  t.deepEqual(bench.servers.unreachable, [refusing]);
  await bench.close();
  await engine.close();
});

test("the dispatcher forwards method and path of a plain call without the caller's key", async (t) => {
  const service = await startPlainService();
  const bench = createDispatchBench();
  bench.servers.set({ address: service.address, service: "comenzi-app" });
  const entry = await startPlainEntry(bench);
  const answer = await request(`http://${entry.address}/orders/7?a=b`, {
    method: "PUT",
    headers: { "authorization": "Bearer key", "content-type": "text/plain" },
    body: "hello",
  });
  const echoedRequest = await answer.body.json() as Record<string, unknown>;
  t.like(echoedRequest, { method: "PUT", path: "/orders/7?a=b" });
  t.is(service.requests()[0]?.headers.authorization, undefined);
  t.like(entry.outcomes[0], { kind: "finished", status: 200 });
  await entry.close();
  await bench.close();
  await service.close();
});
