import {
  Code,
  ConnectError,
  createRouterTransport,
  type ServiceImpl,
} from "@connectrpc/connect";
import test from "ava";
import { OperatorService } from "../../generated/snipepath/v1/operator_pb.ts";
import { parseDeclaration } from "../declarations/declaration_document.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { runApply } from "./apply_command.ts";
import type { CommandContext } from "./command_context.ts";
import type { CommandOutput } from "./command_output.ts";
import { runDiff, runHistory } from "./configuration_commands.ts";
import { runDrain } from "./drain_command.ts";
import type { ExitStatus } from "./exit_status.ts";
import { runExplain } from "./explain_command.ts";
import { runGiveKey, runWithdrawKey } from "./key_commands.ts";
import { OperatorClient } from "./operator_client.ts";
import { runStatus } from "./status_command.ts";

type ServiceStub = Partial<ServiceImpl<typeof OperatorService>>;
type Run = (context: CommandContext) => Promise<ExitStatus>;

const STEP_MILLISECONDS = 200;
const LIVE_NODE = {
  node: "node-1",
  address: "first",
  failureDomain: "cluj-a",
  configurationRevision: 7n,
};
const LAGGING_NODE = {
  node: "node-2",
  address: "second",
  failureDomain: "iasi-b",
  configurationRevision: 6n,
};

function readExample(): Parameters<typeof runApply>[1]["declaration"] {
  const outcome = parseDeclaration("organisations:\n  - name: school-3\n");
  if (outcome.kind !== "ok") {
    throw new Error("The example declaration is invalid");
  }
  return outcome.declaration;
}

const RUN_APPLY: Run = (context) =>
  runApply(context, {
    declaration: readExample(),
    note: "a change",
    expectedRevision: undefined,
    waitMilliseconds: 3 * STEP_MILLISECONDS,
  });

function createApplyNode(
  outcome: Record<string, unknown>,
  nodes: ReadonlyArray<typeof LIVE_NODE> = [LIVE_NODE],
): ServiceStub {
  return {
    getConfiguration: () => ({ record: { revision: 6n } }),
    applyConfiguration: () => ({ outcome }) as never,
    getStatus: () => ({ nodes: [...nodes] }),
  };
}

const CASES: Readonly<Record<string, readonly [Run, ServiceStub]>> = {
  "apply, accepted and in force": [
    RUN_APPLY,
    createApplyNode({ case: "accepted", value: { revision: 7n } }),
  ],
  "apply, one node does not confirm in time": [
    RUN_APPLY,
    createApplyNode({ case: "accepted", value: { revision: 7n } }, [
      LIVE_NODE,
      LAGGING_NODE,
    ]),
  ],
  "apply, unchanged": [
    RUN_APPLY,
    createApplyNode({ case: "unchanged", value: { revision: 7n } }),
  ],
  "apply, another operator's change was first": [
    RUN_APPLY,
    createApplyNode({
      case: "conflict",
      value: { revision: 7n, note: "other" },
    }),
  ],
  "apply, rejected by the node": [
    RUN_APPLY,
    createApplyNode({
      case: "invalid",
      value: { faults: [{ field: "routes", problem: "P", remedy: "R" }] },
    }),
  ],
  "apply, table unreachable before the change": [
    RUN_APPLY,
    createApplyNode({
      case: "unavailable",
      value: { reason: "refused", unknown: false },
    }),
  ],
  "apply, the table's response is lost": [
    RUN_APPLY,
    createApplyNode({
      case: "unavailable",
      value: { reason: "silent", unknown: true },
    }),
  ],
  "apply, the node's response is lost": [RUN_APPLY, {
    getConfiguration: () => ({ record: { revision: 6n } }),
    applyConfiguration: () => {
      throw new ConnectError("connection lost", Code.Unavailable);
    },
  }],
  "diff": [(context) => runDiff(context, readExample()), {
    getConfiguration: () => ({ record: { revision: 6n } }),
  }],
  "history": [(context) => runHistory(context, 5), {
    getHistory: () => ({
      records: [{
        revision: 7n,
        note: "a change",
        digest: "0123456789abcdef",
        appliedAtUnixMilliseconds: 1_800_000_000_000n,
      }],
    }),
  }],
  "status": [runStatus, {
    getStatus: () => ({
      answeredBy: "node-1",
      nodes: [LIVE_NODE, { ...LAGGING_NODE, leaving: true }],
      leases: [{ name: "usage", holder: "node-1", fencingNumber: 3n }],
      services: [{
        service: "dot-models",
        servers: [{
          address: "127.0.0.1:1",
          tier: "cheap",
          reachable: true,
          weightVersions: [4n, 5n],
        }],
      }],
      trainers: [{ trainer: "contraction", newestVersion: 5n }],
    }),
  }],
  "status, no node responds": [runStatus, {
    getStatus: () => {
      throw new ConnectError("no route", Code.Unavailable);
    },
  }],
  "key give": [
    (context) =>
      runGiveKey(context, { organisation: "school-3", isTrainer: false }),
    {
      giveKey: () => ({
        outcome: { case: "key", value: "sp_a_b" },
        keyIdentifier: "a",
      }),
    },
  ],
  "key give, undeclared organisation": [
    (context) =>
      runGiveKey(context, { organisation: "nobody", isTrainer: false }),
    {
      giveKey: () => ({
        outcome: {
          case: "invalid",
          value: { problem: '"nobody" is not declared', remedy: "Declare it" },
        },
      }),
    },
  ],
  "key withdraw": [(context) => runWithdrawKey(context, "a"), {
    withdrawKey: () => ({
      confirmedNodes: ["node-1"],
      saved: true,
      streamsCut: 2,
    }),
  }],
  "key withdraw, no such key": [(context) => runWithdrawKey(context, "a"), {
    withdrawKey: () => ({ unknownKey: true }),
  }],
  "key withdraw, a node does not respond and the table is unreachable": [
    (context) => runWithdrawKey(context, "a"),
    {
      withdrawKey: () => ({
        confirmedNodes: ["node-1"],
        silentNodes: ["node-2"],
      }),
    },
  ],
  "drain": [(context) => runDrain(context, "node-1"), {
    getStatus: () => ({ nodes: [LIVE_NODE] }),
    drain: () => ({ node: "node-1", runningRequests: 4 }),
  }],
  "drain, no such node": [(context) => runDrain(context, "node-9"), {
    getStatus: () => ({ nodes: [LIVE_NODE] }),
  }],
  "explain": [
    (context) =>
      runExplain(context, {
        subject: "all",
        identifier: "",
        withinSeconds: 60,
      }),
    {
      getStatus: () => ({ nodes: [LIVE_NODE, LAGGING_NODE] }),
      explain: () => ({
        subjects: 10,
        targetsMissed: 2,
        causes: [{ cause: "generation", milliseconds: 900n }, {
          cause: "queue",
          milliseconds: 300n,
        }],
      }),
    },
  ],
};

for (const [name, [run, node]] of Object.entries(CASES)) {
  test(`command: ${name}`, async (t) => {
    const lines: string[] = [];
    const clock = new ManualClock();
    const transport = createRouterTransport((router) => {
      router.service(OperatorService, node);
    });
    const client = new OperatorClient({
      addresses: ["first", "second"],
      secret: "",
      connect: () => transport,
    });
    const output: CommandOutput = {
      writeLine: (text: string): void => void lines.push(text),
      writeDiagnostic: (text: string): void => void lines.push(`(${text})`),
    };
    const running = run({ client, output, clock, isJson: false });
    let isDone = false;
    void running.finally(() => isDone = true);
    while (!isDone) await clock.advance(STEP_MILLISECONDS);
    t.snapshot([...lines, `exit status ${await running}`].join("\n"));
  });
}
