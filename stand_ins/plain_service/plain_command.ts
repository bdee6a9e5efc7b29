import { command, number, option } from "cmd-ts";
import { serveUntilTerminated } from "../utilities/serve_until_terminated.ts";
import { startPlainService } from "./start_plain_service.ts";

/** Runs a plain service stand-in until the process is terminated. */
export const PLAIN_COMMAND = command({
  name: "plain",
  description: "Simulates a plain service that echoes each request",
  args: {
    port: option({ long: "port", type: number, defaultValue: () => 0 }),
    delayMilliseconds: option({
      long: "delay-milliseconds",
      type: number,
      defaultValue: () => 2,
    }),
  },
  handler: async (options) => {
    await serveUntilTerminated(startPlainService(options));
  },
});
