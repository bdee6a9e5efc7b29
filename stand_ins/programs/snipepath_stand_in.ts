import { binary, run, subcommands } from "cmd-ts";
import { ENGINE_COMMAND } from "../engine/engine_command.ts";
import { PLAIN_COMMAND } from "../plain_service/plain_command.ts";
import { PLATFORM_COMMAND } from "../platform/platform_command.ts";

const program = subcommands({
  name: "snipepath-stand-in",
  description: "Simulates an external system for tests and the demo",
  cmds: {
    platform: PLATFORM_COMMAND,
    engine: ENGINE_COMMAND,
    plain: PLAIN_COMMAND,
  },
});

void run(binary(program), process.argv);
