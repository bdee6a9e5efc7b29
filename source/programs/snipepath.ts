import {
  array,
  binary,
  command,
  flag,
  multioption,
  number,
  oneOf,
  option,
  optional,
  positional,
  runSafely,
  string,
  subcommands,
} from "cmd-ts";
import { runApply } from "../command/apply_command.ts";
import {
  chooseAddresses,
  type CommandContext,
  NODE_OPTIONS,
} from "../command/command_context.ts";
import { PROCESS_OUTPUT } from "../command/command_output.ts";
import { runDiff, runHistory } from "../command/configuration_commands.ts";
import { runDrain } from "../command/drain_command.ts";
import { EXIT_STATUS } from "../command/exit_status.ts";
import { runExplain } from "../command/explain_command.ts";
import { runGiveKey, runWithdrawKey } from "../command/key_commands.ts";
import { loadDeclarationFile } from "../command/load_declaration_file.ts";
import { OperatorClient } from "../command/operator_client.ts";
import { runTrace } from "../command/trace_command.ts";
import { runStatus } from "../command/status_command.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { VERSION } from "../utilities/version.ts";

const DEFAULT_WAIT_SECONDS = 19;
const DEFAULT_HISTORY = 20;
const DEFAULT_EXPLAIN_SECONDS = 600;

interface NodeArguments {
  readonly nodes: ReadonlyArray<string>;
  readonly secret: string;
  readonly json: boolean;
}

type CommandBody = (context: CommandContext) => Promise<number>;

async function withNodes(
  given: NodeArguments,
  body: CommandBody,
): Promise<void> {
  const addresses = chooseAddresses(given.nodes);
  if (addresses.length === 0) {
    PROCESS_OUTPUT.note(
      "Name at least one node with --node HOST:PORT or SNIPEPATH_OPERATOR_NODES",
    );
    process.exitCode = EXIT_STATUS.usage;
    return;
  }
  process.exitCode = await body({
    client: new OperatorClient({ addresses, secret: given.secret }),
    output: PROCESS_OUTPUT,
    clock: new SystemClock(),
    isJson: given.json,
  });
}

const fileArgument = positional({
  type: string,
  displayName: "FILE",
  description: "Declaration as YAML",
});

const check = command({
  name: "check",
  description: "Check a declaration without asking any node",
  args: { file: fileArgument, json: NODE_OPTIONS.json },
  handler: async ({ file, json }) => {
    const declaration = await loadDeclarationFile(file, {
      output: PROCESS_OUTPUT,
      isJson: json,
    });
    if (declaration === undefined) {
      process.exitCode = EXIT_STATUS.invalid;
    } else PROCESS_OUTPUT.line(json ? '{"faults":[]}' : `${file} is valid`);
  },
});

const diff = command({
  name: "diff",
  description: "Show what a declaration would change",
  args: { ...NODE_OPTIONS, file: fileArgument },
  handler: (given) =>
    withNodes(given, async (context) => {
      const declaration = await loadDeclarationFile(given.file, context);
      if (declaration === undefined) return EXIT_STATUS.invalid;
      return await runDiff(context, declaration);
    }),
});

const apply = command({
  name: "apply",
  description:
    "Put a declaration in force and wait until every node goes by it",
  args: {
    ...NODE_OPTIONS,
    file: fileArgument,
    note: option({
      long: "note",
      type: string,
      defaultValue: () => "",
      description: "Kept in the history, such as a commit identifier",
    }),
    expect: option({
      long: "expect",
      type: optional(number),
      description: "Refuse unless this revision is in force",
    }),
    wait: option({
      long: "wait",
      type: number,
      defaultValue: () => DEFAULT_WAIT_SECONDS,
      description: "Seconds to wait for the nodes",
    }),
  },
  handler: (given) =>
    withNodes(given, async (context) => {
      const declaration = await loadDeclarationFile(given.file, context);
      if (declaration === undefined) return EXIT_STATUS.invalid;
      return await runApply(context, {
        declaration,
        note: given.note,
        expectedRevision: given.expect,
        waitMilliseconds: given.wait * 1000,
      });
    }),
});

const history = command({
  name: "history",
  description: "Show the newest revisions",
  args: {
    ...NODE_OPTIONS,
    maximum: option({
      long: "maximum",
      type: number,
      defaultValue: () => DEFAULT_HISTORY,
      description: "How many revisions at most",
    }),
  },
  handler: (given) =>
    withNodes(given, (context) => runHistory(context, given.maximum)),
});

const status = command({
  name: "status",
  description: "Show nodes, leases, services and trainers",
  args: NODE_OPTIONS,
  handler: (given) => withNodes(given, runStatus),
});

const explain = command({
  name: "explain",
  description: "Name the condition behind missed targets",
  args: {
    ...NODE_OPTIONS,
    subject: positional({
      type: oneOf(["request", "step", "organisation", "service", "all"]),
      displayName: "SUBJECT",
    }),
    identifier: positional({
      type: optional(string),
      displayName: "IDENTIFIER",
      description: "Request identifier, TRAINER/STEP, or a name",
    }),
    within: option({
      long: "within",
      type: number,
      defaultValue: () => DEFAULT_EXPLAIN_SECONDS,
      description: "Seconds back from now",
    }),
    logs: multioption({
      long: "logs",
      type: array(string),
      description:
        "Log file of a node, instead of asking nodes; may be repeated",
    }),
  },
  handler: async (given) => {
    if (given.logs.length > 0) {
      process.exitCode = runTrace({
        identifier: given.identifier ?? "",
        files: given.logs,
        write: (line) => PROCESS_OUTPUT.line(line),
      });
      return;
    }
    await withNodes(given, (context) =>
      runExplain(context, {
        subject: given.subject,
        identifier: given.identifier ?? "",
        withinSeconds: given.within,
      }));
  },
});

const giveKey = command({
  name: "give",
  description: "Give a key to an organisation and show it this once",
  args: {
    ...NODE_OPTIONS,
    organisation: positional({ type: string, displayName: "ORGANISATION" }),
    trainer: flag({
      long: "trainer",
      description: "Let the key use the trainers' interface",
    }),
  },
  handler: (given) =>
    withNodes(given, (context) =>
      runGiveKey(context, {
        organisation: given.organisation,
        isTrainer: given.trainer,
      })),
});

const withdrawKey = command({
  name: "withdraw",
  description: "Withdraw a key and show which nodes confirmed",
  args: {
    ...NODE_OPTIONS,
    identifier: positional({ type: string, displayName: "KEY_IDENTIFIER" }),
  },
  handler: (given) =>
    withNodes(given, (context) => runWithdrawKey(context, given.identifier)),
});

const drain = command({
  name: "drain",
  description: "Make a node leave without cutting a request",
  args: {
    ...NODE_OPTIONS,
    target: positional({ type: string, displayName: "NODE" }),
  },
  handler: (given) =>
    withNodes(given, (context) => runDrain(context, given.target)),
});

const program = subcommands({
  name: "snipepath",
  description: "Operate a snipepath deployment",
  version: VERSION,
  cmds: {
    check,
    diff,
    apply,
    history,
    status,
    explain,
    key: subcommands({
      name: "key",
      description: "Give and withdraw keys",
      cmds: { give: giveKey, withdraw: withdrawKey },
    }),
    drain,
  },
});

async function main(): Promise<void> {
  const outcome = await runSafely(binary(program), process.argv);
  if (outcome._tag === "ok") return;
  const { message, exitCode, into } = outcome.error.config;
  process[into].write(message + "\n");
  process.exitCode = exitCode === 0 ? EXIT_STATUS.done : EXIT_STATUS.usage;
}

void main();
