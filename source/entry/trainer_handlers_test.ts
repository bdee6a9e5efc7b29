import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { request } from "undici";
import { FakeNodeGroup } from "../../stand_ins/steps/fake_node_group.ts";
import {
  startTrainerServer,
  type TrainerServer,
} from "../../stand_ins/steps/trainer_server.ts";
import { createTrainerRoutes } from "./trainer_handlers.ts";

const STEP = {
  step: "17",
  groups: [{ prompt: "one", samples: 3, maximumTokens: 8 }],
};
const SAMPLES = "/v1/trainers/dots/steps/17/samples";

interface Answer {
  readonly status: number;
  // deno-lint-ignore no-explicit-any
  readonly body: any;
}

interface Fixture {
  readonly group: FakeNodeGroup;
  readonly server: TrainerServer;
  readonly call: (
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: unknown,
  ) => Promise<Answer>;
}

async function startFixture(t: ExecutionContext): Promise<Fixture> {
  const group = new FakeNodeGroup({
    nodes: 2,
    engines: 2,
    seed: 1,
    stalenessBoundVersions: 1,
  });
  const steps = group.nodes[0]?.service;
  if (steps === undefined) throw new Error("The group has no nodes");
  const server = await startTrainerServer(
    createTrainerRoutes({ steps }),
    group.clock,
  );
  t.teardown(async () => {
    group.close();
    await server.close();
  });
  async function call(
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: unknown,
  ): Promise<Answer> {
    const text = typeof body === "string" ? body : JSON.stringify(body);
    const sent = request(server.origin + path, {
      method,
      ...(body === undefined ? {} : { body: text }),
    });
    const answer = await group.runUntilDone(sent);
    return { status: answer.statusCode, body: await answer.body.json() };
  }
  return { group, server, call };
}

async function publishAndSubmit(fixture: Fixture): Promise<string> {
  await fixture.call("POST", "/v1/trainers/dots/weights", {
    version: 1,
    location: "weights/1",
  });
  const accepted = await fixture.call("POST", "/v1/trainers/dots/steps", STEP);
  return accepted.body.cursor;
}

test("a trainer publishes, submits, pulls and cancels", async (t) => {
  const fixture = await startFixture(t);
  const cursor = await publishAndSubmit(fixture);
  const first = await fixture.call(
    "GET",
    `${SAMPLES}?cursor=${cursor}&wait_milliseconds=2000&newest_version=1`,
  );
  const again = await fixture.call(
    "GET",
    `${SAMPLES}?cursor=${cursor}&wait_milliseconds=2000`,
  );
  t.deepEqual(again.body.samples, first.body.samples);
  const seen = [...first.body.samples];
  let next: Answer = first;
  for (let pull = 0; pull < 10 && !next.body.isWhole; pull += 1) {
    next = await fixture.call(
      "GET",
      `${SAMPLES}?cursor=${next.body.cursor}&wait_milliseconds=2000`,
    );
    seen.push(...next.body.samples);
  }
  t.snapshot(seen.sort((left, right) => left.index - right.index));
  const cancelled = await fixture.call("DELETE", "/v1/trainers/dots/steps/17");
  t.true(cancelled.body.cancelled);
  const later = await fixture.call("GET", SAMPLES);
  t.snapshot(later);
});

test("submitting a step again is idempotent, and other content is a conflict", async (t) => {
  const fixture = await startFixture(t);
  await publishAndSubmit(fixture);
  const again = await fixture.call("POST", "/v1/trainers/dots/steps", STEP);
  t.false(again.body.isNew);
  const other = await fixture.call("POST", "/v1/trainers/dots/steps", {
    ...STEP,
    groups: [{ prompt: "two", samples: 3, maximumTokens: 8 }],
  });
  t.snapshot(other);
  await fixture.call("DELETE", "/v1/trainers/dots/steps/17");
  const resubmitted = await fixture.call(
    "POST",
    "/v1/trainers/dots/steps",
    STEP,
  );
  t.true(resubmitted.body.isNew);
  t.not(resubmitted.body.epoch, again.body.epoch);
  const old = await fixture.call(
    "GET",
    `${SAMPLES}?cursor=${again.body.cursor}`,
  );
  t.is(old.status, 409);
  t.is(old.body.field, "cursor");
});

test("published versions never decrease", async (t) => {
  const fixture = await startFixture(t);
  await publishAndSubmit(fixture);
  const path = "/v1/trainers/dots/weights";
  const answers = [];
  for (
    const body of [
      { version: 3, location: "weights/3" },
      { version: 3, location: "weights/3" },
      { version: 3, location: "elsewhere" },
      { version: 2, location: "weights/2" },
    ]
  ) answers.push(await fixture.call("POST", path, body));
  t.snapshot(answers);
});

type InvalidInput = readonly [
  title: string,
  method: "GET" | "POST" | "DELETE",
  path: string,
  body?: unknown,
];

const STEPS = "/v1/trainers/dots/steps";
const WEIGHTS = "/v1/trainers/dots/weights";
const GROUP = STEP.groups[0];

const INVALID_INPUTS: ReadonlyArray<InvalidInput> = [
  ["unknown trainer", "POST", "/v1/trainers/other/steps", STEP],
  ["no JSON", "POST", STEPS, "{"],
  ["empty body", "POST", STEPS, ""],
  ["a list", "POST", STEPS, []],
  ["null", "POST", WEIGHTS, null],
  ["step missing", "POST", STEPS, { groups: STEP.groups }],
  ["step not text", "POST", STEPS, { ...STEP, step: 17 }],
  ["step with a slash", "POST", STEPS, { ...STEP, step: "a/b" }],
  ["step too long", "POST", STEPS, { ...STEP, step: "a".repeat(129) }],
  ["groups missing", "POST", STEPS, { step: "17" }],
  ["no groups", "POST", STEPS, { step: "17", groups: [] }],
  ["group not an object", "POST", STEPS, { step: "17", groups: [3] }],
  ["prompt missing", "POST", STEPS, {
    step: "17",
    groups: [{ samples: 1, maximumTokens: 1 }],
  }],
  ["no samples", "POST", STEPS, {
    step: "17",
    groups: [{ ...GROUP, samples: 0 }],
  }],
  ["half a sample", "POST", STEPS, {
    step: "17",
    groups: [{ ...GROUP, samples: 0.5 }],
  }],
  ["too many samples", "POST", STEPS, {
    step: "17",
    groups: [{ ...GROUP, samples: 2000 }, { ...GROUP, samples: 49 }],
  }],
  ["no tokens", "POST", STEPS, {
    step: "17",
    groups: [{ ...GROUP, maximumTokens: 0 }],
  }],
  ["negative bound", "POST", STEPS, { ...STEP, stalenessBound: -1 }],
  ["bound not a number", "POST", STEPS, { ...STEP, stalenessBound: "1" }],
  ["version missing", "POST", WEIGHTS, { location: "x" }],
  ["version 0", "POST", WEIGHTS, { version: 0, location: "x" }],
  ["version too large", "POST", WEIGHTS, { version: 2 ** 60, location: "x" }],
  ["location empty", "POST", WEIGHTS, { version: 1, location: "" }],
  ["unknown step", "GET", `${STEPS}/18/samples`],
  ["cursor too long", "GET", `${SAMPLES}?cursor=${"A".repeat(5000)}`],
  ["cursor garbled", "GET", `${SAMPLES}?cursor=%25%25`],
  ["maximum 0", "GET", `${SAMPLES}?maximum=0`],
  ["maximum not a number", "GET", `${SAMPLES}?maximum=ten`],
  ["wait too long", "GET", `${SAMPLES}?wait_milliseconds=30001`],
  ["version never published", "GET", `${SAMPLES}?newest_version=99`],
  ["version negative", "GET", `${SAMPLES}?newest_version=-1`],
  ["cancel of an unknown step", "DELETE", `${STEPS}/18`],
];

test("invalid input is refused with the name of the field", async (t) => {
  const fixture = await startFixture(t);
  await publishAndSubmit(fixture);
  const seen: Record<string, string> = {};
  for (const [title, method, path, body] of INVALID_INPUTS) {
    const { status, body: refusal } = await fixture.call(method, path, body);
    t.is(refusal.ran, "notRun", title);
    seen[title] =
      `${status} ${refusal.error} ${refusal.field}: ${refusal.message}`;
  }
  t.snapshot(seen);
});

test("a body that is too large is refused", async (t) => {
  const fixture = await startFixture(t);
  const answer = await fixture.call(
    "POST",
    STEPS,
    " ".repeat(17 * 1024 * 1024),
  );
  t.is(answer.status, 413);
});

test("callers of other organisations and without a trainer's key are refused", async (t) => {
  const fixture = await startFixture(t);
  await publishAndSubmit(fixture);
  const routes: ReadonlyArray<InvalidInput> = [
    ["publish", "POST", WEIGHTS, { version: 9, location: "x" }],
    ["submit", "POST", STEPS, STEP],
    ["pull", "GET", SAMPLES],
    ["cancel", "DELETE", `${STEPS}/17`],
  ];
  const callers = [
    { organisation: "library", keyIdentifier: "k", isTrainer: true },
    { organisation: "guild", keyIdentifier: "k", isTrainer: false },
  ];
  for (const caller of callers) {
    fixture.server.caller = caller;
    for (const [title, method, path, body] of routes) {
      const answer = await fixture.call(method, path, body);
      t.is(answer.status, 403, title);
    }
  }
});

test("random cursors are refused with a typed error", async (t) => {
  const fixture = await startFixture(t);
  const cursor = await publishAndSubmit(fixture);
  const other = await fixture.call("POST", STEPS, { ...STEP, step: "18" });
  const foreign: string = other.body.cursor;
  const text = fc.oneof(
    fc.string({ minLength: 1, maxLength: 200 }),
    fc.base64String({ minLength: 4, maxLength: 200 }),
    fc.nat(cursor.length - 1).filter((length) => length > 0)
      .map((length) => cursor.slice(0, length)),
    fc.tuple(fc.nat(cursor.length - 1), fc.constantFrom("A", "b", "7", "_"))
      .map(([at, letter]) =>
        cursor.slice(0, at) + letter + cursor.slice(at + 1)
      ),
    fc.string({ minLength: 1, maxLength: 20 }).map((rest) => cursor + rest),
    fc.constant(foreign),
  ).filter((candidate) => candidate !== cursor);
  await fc.assert(
    fc.asyncProperty(text, async (candidate) => {
      const answer = await fixture.call(
        "GET",
        `${SAMPLES}?newest_version=1&cursor=${encodeURIComponent(candidate)}`,
      );
      t.is(answer.status, 400, candidate);
      t.is(answer.body.field, "cursor", candidate);
    }),
    { seed: 17, numRuns: 300 },
  );
});
