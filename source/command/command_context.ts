import { array, flag, multioption, option, string, type Type } from "cmd-ts";
import type { Clock } from "../utilities/clock.ts";
import type { CommandOutput } from "./command_output.ts";
import type { OperatorClient } from "./operator_client.ts";

/** Dependencies that all commands share. */
export interface CommandContext {
  readonly client: OperatorClient;
  readonly output: CommandOutput;
  readonly clock: Clock;
  /** Whether the command writes its result as JSON. */
  readonly isJson: boolean;
}

const HOST_AND_PORT = /^[^\s/]+:\d{1,5}$/;
const ADDRESSES_VARIABLE = "SNIPEPATH_OPERATOR_NODES";
const SECRET_VARIABLE = "SNIPEPATH_OPERATOR_SECRET";

/** Type of a command line option that is an address. */
export const ADDRESS_TYPE: Type<string, string> = {
  from(text): Promise<string> {
    if (HOST_AND_PORT.test(text)) return Promise.resolve(text);
    return Promise.reject(new Error(`"${text}" is not HOST:PORT`));
  },
  displayName: "HOST:PORT",
};

/** Command line options of every command that calls nodes. */
export const NODE_OPTIONS = {
  nodes: multioption({
    long: "node",
    type: array(ADDRESS_TYPE),
    description:
      `Peer address of a node; may be repeated [env: ${ADDRESSES_VARIABLE}, separated by commas]`,
  }),
  secret: option({
    long: "secret",
    type: string,
    description: "Value of --peer-secret on the nodes",
    defaultValue: () => process.env[SECRET_VARIABLE] ?? "",
  }),
  json: flag({ long: "json", description: "Write the result as JSON" }),
};

/**
 * Returns the addresses of the nodes to call, from the command line or else from the environment.
 * @param given - Addresses on the command line.
 */
export function chooseAddresses(
  given: ReadonlyArray<string>,
): ReadonlyArray<string> {
  if (given.length > 0) return given;
  const variable = process.env[ADDRESSES_VARIABLE] ?? "";
  return variable.split(",").map((each) => each.trim())
    .filter((each) => each !== "");
}
