/** Exit statuses of the `snipepath` command, as docs/COMMAND.md lists them. */
export const EXIT_STATUS = {
  done: 0,
  /** The declaration or the value of an argument is invalid; nothing was changed. */
  invalid: 1,
  /** The command line could not be parsed. */
  usage: 2,
  /** `check-configuration` can't read a file or the store. */
  unreadable: 2,
  /**
   * No node responded, or the platform did not; for a change, the message says whether it may have
   * been applied.
   */
  unavailable: 3,
  /** Another operator's change was applied first; nothing was changed. */
  conflict: 4,
  /**
   * The change is accepted, but some nodes did not confirm it in time, or a key's withdrawal is not
   * saved in the platform's table yet.
   */
  lagging: 5,
} as const;

/** One of the exit statuses. */
export type ExitStatus = (typeof EXIT_STATUS)[keyof typeof EXIT_STATUS];
