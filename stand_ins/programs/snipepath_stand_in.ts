import { binary, command, number, option, run, subcommands } from "cmd-ts";
import { ENGINE_COMMAND } from "../engine/engine_command.ts";
import { PLAIN_COMMAND } from "../plain_service/plain_command.ts";
import { startPlatform } from "../platform/start_platform.ts";
import { serveUntilTerminated } from "../utilities/serve_until_terminated.ts";

const PORT = option({
  type: number,
  long: "port",
  defaultValue: () => 0,
  description: "Port on loopback; 0 for a free one",
});

const LATENCY = option({
  type: number,
  long: "latency-milliseconds",
  defaultValue: () => 0,
  description: "One way, between caller and stand-in",
});

const platform = command({
  name: "platform",
  description: "Table, objects, orders, usage reports and list of instances",
  args: {
    port: PORT,
    latency: LATENCY,
    listLag: option({
      type: number,
      long: "list-lag-milliseconds",
      defaultValue: () => 1000,
    }),
    startDelay: option({
      type: number,
      long: "start-delay-milliseconds",
      defaultValue: () => 0,
    }),
    weightBytes: option({
      type: number,
      long: "weight-bytes",
      defaultValue: () => 1_000_000,
    }),
    weightBytesPerSecond: option({
      type: number,
      long: "weight-bytes-per-second",
      defaultValue: () => 0,
    }),
  },
  handler: (settings) =>
    serveUntilTerminated(startPlatform({
      port: settings.port,
      latencyMilliseconds: settings.latency,
      listLagMilliseconds: settings.listLag,
      startDelayMilliseconds: settings.startDelay,
      weightBytes: settings.weightBytes,
      weightBytesPerSecond: settings.weightBytesPerSecond,
    })),
});

const program = subcommands({
  name: "snipepath-stand-in",
  description: "Stands in for one outside system in tests and the demo",
  cmds: { platform, engine: ENGINE_COMMAND, plain: PLAIN_COMMAND },
});

void run(binary(program), process.argv);
