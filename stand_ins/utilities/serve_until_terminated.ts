/** A stand-in that serves. */
export interface RunningStandIn {
  /** HOST:PORT. */
  readonly address: string;
  /** Ends it. */
  close(): Promise<void>;
}

/**
 * Tells the address on the standard output, and ends the process on SIGTERM.
 * @param starting - The stand-in.
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
