import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import {
  createEntryBench,
  type EntryBench,
} from "../../stand_ins/entry/entry_bench.ts";

test("serves addresses, completions and plain calls", async (t) => {
  const bench = await startBench(t);
  const key = await issueKey(bench, "school");
  const headers = { authorization: `Bearer ${key}` };
  const addresses = await call(bench, "GET", "/v1/addresses");
  t.deepEqual(JSON.parse(addresses.text), {
    addresses: [{
      node: "node-1",
      address: bench.address,
      failureDomain: "cluj-a",
    }],
    keepSeconds: 5,
  });
  const body = JSON.stringify({ model: "dot-models", prompt: "dots" });
  const whole = await call(bench, "POST", "/v1/completions", { headers, body });
  t.is(whole.status, 200);
  t.snapshot(withoutMetadata(JSON.parse(whole.text)));
  const streamed = await call(bench, "POST", "/v1/completions", {
    headers,
    body: JSON.stringify({ ...JSON.parse(body), stream: true }),
  });
  const events = streamed.text.split("\n\n").slice(0, -2);
  t.snapshot(
    events.map((event) => withoutMetadata(JSON.parse(event.slice(6)))),
  );
  t.true(streamed.text.endsWith("data: [DONE]\n\n"));
  const plain = await call(bench, "PUT", "/orders/7?x=1", {
    headers,
    body: "thirty",
  });
  t.is(plain.text, "thirty");
  t.is(bench.dispatcher.calls[0]?.path, "/orders/7?x=1");
  t.false(bench.dispatcher.receivedContent.includes(key));
  t.snapshot(bench.usage);
});

interface Answer {
  readonly status: number;
  readonly text: string;
}

async function call(
  bench: EntryBench,
  method: "GET" | "POST" | "PUT",
  path: string,
  options: {
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
  } = {},
): Promise<Answer> {
  const answer = await request(`http://${bench.address}${path}`, {
    method,
    headers: options.headers ?? {},
    body: options.body ?? null,
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}

async function startBench(t: ExecutionContext): Promise<EntryBench> {
  const bench = createEntryBench();
  bench.address = await bench.server.listen();
  t.teardown(() => bench.stop());
  await bench.keys.refresh();
  return bench;
}

async function issueKey(
  bench: EntryBench,
  organisation: string,
): Promise<string> {
  const outcome = await bench.authority.issue({ organisation, trainer: false });
  return outcome.kind === "given" ? outcome.key : "";
}

function withoutMetadata(answer: Record<string, unknown>): unknown {
  return { ...answer, id: "ID", created: 0 };
}
