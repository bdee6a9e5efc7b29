/** Exit statuses of the operators' command, as docs/COMMAND.md lists them. */
export const EXIT_STATUS = {
  done: 0,
  /** The declaration or an argument's value is at fault; nothing was changed. */
  invalid: 1,
  /** The command line could not be read. */
  usage: 2,
  /** No node, or not the platform, answered; the message says whether the change may have taken effect. */
  unavailable: 3,
  /** Another operator's change won; nothing was changed. */
  conflict: 4,
  /** The change is accepted, but some nodes have not confirmed it in time. */
  lagging: 5,
} as const;

/** One of the exit statuses. */
export type ExitStatus = (typeof EXIT_STATUS)[keyof typeof EXIT_STATUS];
