/** A stand-in that is accepting connections. */
export interface RunningStandIn {
  /** HOST:PORT. */
  readonly address: string;
  /** Stops the stand-in and closes its connections. */
  close(): Promise<void>;
}

/**
 * Prints the stand-in's address to standard output and exits the process on SIGTERM.
 * @param starting - Resolves to the stand-in once it listens.
 */
export async function serveUntilTerminated(
  starting: Promise<RunningStandIn>,
): Promise<void> {
  const standIn = await starting;
  console.log(`listening ${standIn.address}`);
  process.once("SIGTERM", () => {
    standIn.close().finally(() => process.exit(0));
  });
}
