import test from "ava";
import { generateText } from "../../../stand_ins/engine/generated_text.ts";
import { createSoakPrompt, SOAK_TOKENS } from "../actors/caller.ts";
import type { BackendRequest, Evidence } from "../evidence.ts";
import { type Attempt, Journal, type ObservedStep } from "../journal.ts";
import { CHECKS } from "./checks.ts";

type CauseViolation = (parts: Parts) => void;

interface Parts {
  readonly journal: Journal;
  readonly backendRequests: BackendRequest[];
  readonly orders: Evidence["orders"][number][];
  readonly usageReports: Evidence["usageReports"][number][];
}

const PROMPT = "Transcribe page 1, line 0";
const MARKER = "school-0-1-try0";

function createAttempt(changes: Partial<Attempt>): Attempt {
  const prompt = createSoakPrompt("school", MARKER);
  const text = generateText(prompt, {
    seed: 1,
    tokens: SOAK_TOKENS,
    weightVersion: 3,
  });
  return {
    call: "school-0-1",
    marker: MARKER,
    kind: "completion",
    organisation: "school",
    keyIdentifier: "key-1",
    node: "node-1",
    address: "127.0.0.1:1",
    sentAt: 1000,
    endedAt: 1100,
    outcome: { kind: "answered", text, finishReason: "length" },
    ...changes,
  };
}

function createRequest(changes: Partial<BackendRequest>): BackendRequest {
  return {
    server: "127.0.0.1:9",
    service: "dot-models",
    method: "POST",
    path: "/v1/completions",
    headers: {},
    body: JSON.stringify({
      prompt: createSoakPrompt("school", MARKER),
      ["cache_salt"]: "salt-1",
    }),
    finished: true,
    ...changes,
  };
}

function createStep(
  sample: Partial<ObservedStep["result"]["samples"][number]> = {},
): ObservedStep {
  const text = generateText(PROMPT, { seed: 1, tokens: 4, weightVersion: 5 });
  return {
    step: "step-1",
    prompts: [PROMPT],
    wanted: 1,
    result: {
      samples: [{
        index: 0,
        group: 0,
        text,
        finishReason: "length",
        stretches: [{ weightVersion: 5, tokens: 4 }],
        publishedBeforePull: 6,
        receivedAfter: 100,
        ...sample,
      }],
      isWhole: true,
      milliseconds: 100,
      failures: {},
    },
  };
}

function createReport(
  requests: number,
  fencingNumber: number,
): Evidence["usageReports"][number] {
  return {
    report: {
      organisation: "school",
      windowStart: 0,
      figures: { requests, promptTokens: 0, generatedTokens: 0 },
      adjustments: [],
      reporter: "node-1",
      fencingNumber,
    },
    receivedAtUnixMilliseconds: 0,
    result: { kind: "accepted" },
  };
}

function createOrder(fencingNumber: number): Evidence["orders"][number] {
  return {
    order: {
      idempotencyKey: `order-${fencingNumber}`,
      fencingNumber,
      operation: "start",
      service: "dot-models",
      failureDomain: "cluj-a",
      tier: "cheap",
      server: "",
    },
    receivedAtUnixMilliseconds: 0,
    repeated: false,
    result: { kind: "noCapacity" },
  };
}

const LOST = { kind: "lost", reason: "reset" } as const;

function refused(error: string, ran: string): Attempt["outcome"] {
  return { kind: "refused", error, ran, hasRetryAfter: true };
}

const VIOLATIONS: Readonly<Record<string, CauseViolation>> = {
  "true weight versions": ({ journal }) =>
    journal.steps.push(
      createStep({ stretches: [{ weightVersion: 6, tokens: 4 }] }),
    ),
  "staleness bound": ({ journal }) =>
    journal.steps.push(createStep({ publishedBeforePull: 8 })),
  "delivered once": ({ journal }) => {
    const step = createStep();
    const samples = [...step.result.samples, ...step.result.samples];
    journal.steps.push({ ...step, result: { ...step.result, samples } });
  },
  "runs only for the key's organisation": ({ backendRequests }) => {
    const body = JSON.stringify({
      prompt: createSoakPrompt("other", MARKER),
      ["cache_salt"]: "salt-1",
    });
    backendRequests.push(createRequest({}), createRequest({ body }));
  },
  "no key reaches a backend server": ({ journal, backendRequests }) => {
    journal.secrets.push("secret-of-a-key");
    backendRequests.push(createRequest({ headers: { x: "secret-of-a-key" } }));
  },
  "withdrawn key stops in seconds": ({ journal }) => {
    journal.withdrawals.push({
      keyIdentifier: "key-1",
      answeredAt: 0,
      output: "",
    });
    journal.attempts.push(createAttempt({ sentAt: 8000 }));
  },
  "orders never from two in charge": ({ orders }) =>
    orders.push(createOrder(2), createOrder(1)),
  "usage window: one figure, one reporter": ({ usageReports }) =>
    usageReports.push(createReport(1, 1), createReport(2, 1)),
  "no bill above the attempts": ({ usageReports }) =>
    usageReports.push(createReport(5, 1)),
  "whole answer to its own request": ({ journal }) => {
    const { outcome } = createAttempt({ marker: "other" });
    const text = generateText("another prompt", {
      seed: 1,
      tokens: SOAK_TOKENS,
      weightVersion: 3,
    });
    journal.attempts.push(
      createAttempt({ outcome: { ...outcome, text } as Attempt["outcome"] }),
    );
  },
  "refusals are typed": ({ journal }) =>
    journal.attempts.push(
      createAttempt({ outcome: refused("untyped: oops", "unknown") }),
    ),
  '"not run" is true': ({ journal, backendRequests }) => {
    journal.attempts.push(
      createAttempt({ outcome: refused("noCapacity", "notRun") }),
    );
    backendRequests.push(createRequest({}));
  },
  "not repeatable: at most once": ({ journal, backendRequests }) => {
    journal.attempts.push(createAttempt({ kind: "order", outcome: LOST }));
    const request = createRequest({ path: `/orders/${MARKER}`, body: "" });
    backendRequests.push(request, request);
  },
  "leaving backend server": ({ journal, backendRequests }) => {
    const target = "127.0.0.1:9";
    journal.faults.push({ kind: "serverLeave", target, from: 0, to: 9000 });
    journal.attempts.push(createAttempt({ sentAt: 5000, endedAt: 5100 }));
    backendRequests.push(createRequest({}));
  },
  "graceful shutdown": ({ journal }) => {
    journal.drains.push({
      node: "node-1",
      address: "127.0.0.1:1",
      from: 1050,
      to: 3000,
      exitStatus: 0,
      lines: [],
    });
    journal.attempts.push(createAttempt({ outcome: LOST }));
  },
  "configuration in force, never back": ({ journal }) => {
    const seen = { node: "node-1", nodeStart: "a", at: 0 };
    journal.nodeRevisions.push(
      { ...seen, revision: 3 },
      { ...seen, revision: 2 },
    );
  },
  "no process stops by itself": ({ journal }) =>
    journal.crashes.push("node-1 ended with status 70"),
};

function findBrokenGuarantees(
  causeViolation: CauseViolation,
): ReadonlyArray<string> {
  const parts: Parts = {
    journal: new Journal(),
    backendRequests: [],
    orders: [],
    usageReports: [],
  };
  causeViolation(parts);
  const evidence: Evidence = {
    ...parts,
    trainerOrganisation: "trainers",
    stalenessBound: 2,
    keyBoundMilliseconds: 7500,
    configurationBoundMilliseconds: 19_000,
  };
  return Object.entries(CHECKS)
    .filter(([, check]) => check(evidence).length > 0)
    .map(([guarantee]) => guarantee);
}

for (const guarantee of Object.keys(CHECKS)) {
  test(`the check of "${guarantee}" detects a violation`, (t) => {
    t.true(
      findBrokenGuarantees(VIOLATIONS[guarantee] ?? (() => {})).includes(
        guarantee,
      ),
    );
  });
}

test("a run without violations passes all checks", (t) => {
  const broken = findBrokenGuarantees(
    ({ journal, backendRequests, orders, usageReports }) => {
      journal.attempts.push(createAttempt({}));
      journal.steps.push(createStep());
      backendRequests.push(createRequest({}));
      orders.push(createOrder(1), createOrder(2));
      usageReports.push(createReport(1, 1), createReport(1, 1));
    },
  );
  t.deepEqual(broken, []);
});
