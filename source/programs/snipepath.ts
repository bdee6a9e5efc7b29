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
import { CONFIGURATION_FORMATS } from "../../platform/configuration_formats.ts";
import { runAccount } from "../command/account_command.ts";
import { runApply } from "../command/apply_command.ts";
import { runCheckConfiguration } from "../command/check_configuration_command.ts";
import {
  ADDRESS_TYPE,
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

interface ConnectionArguments {
  readonly nodes: ReadonlyArray<string>;
  readonly secret: string;
  readonly json: boolean;
}

type CommandHandler = (context: CommandContext) => Promise<number>;

async function runWithNodes(
  args: ConnectionArguments,
  handler: CommandHandler,
): Promise<void> {
  const addresses = chooseAddresses(args.nodes);
  if (addresses.length === 0) {
    PROCESS_OUTPUT.writeDiagnostic(
      "Specify at least one node with --node HOST:PORT or SNIPEPATH_OPERATOR_NODES",
    );
    process.exitCode = EXIT_STATUS.usage;
    return;
  }
  process.exitCode = await handler({
    client: new OperatorClient({ addresses, secret: args.secret }),
    output: PROCESS_OUTPUT,
    clock: new SystemClock(),
    isJson: args.json,
  });
}

const fileArgument = positional({
  type: string,
  displayName: "FILE",
  description: "Declaration as YAML",
});

const check = command({
  name: "check",
  description: "Check a declaration without contacting a node",
  args: { file: fileArgument, json: NODE_OPTIONS.json },
  handler: async ({ file, json }) => {
    const declaration = await loadDeclarationFile(file, {
      output: PROCESS_OUTPUT,
      isJson: json,
    });
    if (declaration === undefined) {
      process.exitCode = EXIT_STATUS.invalid;
    } else {PROCESS_OUTPUT.writeLine(
        json ? '{"faults":[]}' : `${file} is valid`,
      );}
  },
});

const checkInstallationConfiguration = command({
  name: "check-configuration",
  description:
    "Check the configuration of an installation before it is sent; only reads",
  args: {
    json: NODE_OPTIONS.json,
    file: positional({
      type: string,
      displayName: "FILE",
      description: "Configuration as JSON",
    }),
    inForce: option({
      long: "in-force",
      type: optional(string),
      description: "File with the configuration in force, to compare with",
    }),
    store: option({
      long: "store",
      type: optional(ADDRESS_TYPE),
      description: "Store to read the configuration in force from",
    }),
    settings: option({
      long: "settings",
      type: optional(string),
      description: "Settings file of a node, for regions and sizes",
    }),
  },
  handler: async ({ json, ...options }) => {
    process.exitCode = await runCheckConfiguration({
      ...options,
      isJson: json,
      output: PROCESS_OUTPUT,
      formats: CONFIGURATION_FORMATS,
    });
  },
});

const diff = command({
  name: "diff",
  description: "Show what a declaration would change",
  args: { ...NODE_OPTIONS, file: fileArgument },
  handler: (args) =>
    runWithNodes(args, async (context) => {
      const declaration = await loadDeclarationFile(args.file, context);
      if (declaration === undefined) return EXIT_STATUS.invalid;
      return await runDiff(context, declaration);
    }),
});

const apply = command({
  name: "apply",
  description: "Apply a declaration and wait until every node uses it",
  args: {
    ...NODE_OPTIONS,
    file: fileArgument,
    note: option({
      long: "note",
      type: string,
      defaultValue: () => "",
      description: "Text to record in the history, such as a commit identifier",
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
  handler: (args) =>
    runWithNodes(args, async (context) => {
      const declaration = await loadDeclarationFile(args.file, context);
      if (declaration === undefined) return EXIT_STATUS.invalid;
      return await runApply(context, {
        declaration,
        note: args.note,
        expectedRevision: args.expect,
        waitMilliseconds: args.wait * 1000,
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
  handler: (args) =>
    runWithNodes(args, (context) => runHistory(context, args.maximum)),
});

const status = command({
  name: "status",
  description: "Show nodes, leases, services and trainers",
  args: NODE_OPTIONS,
  handler: (args) => runWithNodes(args, runStatus),
});

const explain = command({
  name: "explain",
  description: "Show the condition that caused missed targets",
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
      description: "Length of the period to explain, in seconds before now",
    }),
    logs: multioption({
      long: "logs",
      type: array(string),
      description:
        "Log file of a node, to read instead of contacting nodes; may be repeated",
    }),
  },
  handler: async (args) => {
    if (args.logs.length > 0) {
      process.exitCode = runTrace({
        identifier: args.identifier ?? "",
        files: args.logs,
        write: (line) => PROCESS_OUTPUT.writeLine(line),
      });
      return;
    }
    await runWithNodes(args, (context) =>
      runExplain(context, {
        subject: args.subject,
        identifier: args.identifier ?? "",
        withinSeconds: args.within,
      }));
  },
});

const account = command({
  name: "account",
  description:
    "Show where the time of trainers' steps went, from the log files of all nodes",
  args: {
    json: NODE_OPTIONS.json,
    logs: multioption({
      long: "logs",
      type: array(string),
      description: "Log file of a node; may be repeated",
    }),
    picture: option({
      long: "picture",
      type: optional(string),
      description: "SVG file to write, with a bar for each step",
    }),
  },
  handler: async ({ json, logs, picture }) => {
    process.exitCode = await runAccount({
      files: logs,
      isJson: json,
      picture,
      output: PROCESS_OUTPUT,
    });
  },
});

const giveKey = command({
  name: "give",
  description: "Create a key for an organisation and show it once",
  args: {
    ...NODE_OPTIONS,
    organisation: positional({ type: string, displayName: "ORGANISATION" }),
    trainer: flag({
      long: "trainer",
      description: "Allow the key to use the trainers' interface",
    }),
  },
  handler: (args) =>
    runWithNodes(args, (context) =>
      runGiveKey(context, {
        organisation: args.organisation,
        isTrainer: args.trainer,
      })),
});

const withdrawKey = command({
  name: "withdraw",
  description: "Withdraw a key and show which nodes confirmed",
  args: {
    ...NODE_OPTIONS,
    identifier: positional({ type: string, displayName: "KEY_IDENTIFIER" }),
  },
  handler: (args) =>
    runWithNodes(args, (context) => runWithdrawKey(context, args.identifier)),
});

const drain = command({
  name: "drain",
  description: "Drain a node without interrupting its requests",
  args: {
    ...NODE_OPTIONS,
    target: positional({ type: string, displayName: "NODE" }),
  },
  handler: (args) =>
    runWithNodes(args, (context) => runDrain(context, args.target)),
});

const program = subcommands({
  name: "snipepath",
  description: "Operate a snipepath deployment",
  version: VERSION,
  cmds: {
    check,
    "check-configuration": checkInstallationConfiguration,
    diff,
    apply,
    history,
    status,
    explain,
    account,
    key: subcommands({
      name: "key",
      description: "Create and withdraw keys",
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
