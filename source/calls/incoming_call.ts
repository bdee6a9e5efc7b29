/** A request that a caller sent to this node. */
export interface IncomingCall {
  readonly identifier: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly host: string;
  /** API key that the caller sent; undefined when it sent none. */
  readonly key: string | undefined;
  /** Headers to forward to the backend server. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Time from arrival to the caller's deadline; undefined when the caller set none. */
  readonly budgetMilliseconds: number | undefined;
  /**
   * Number of the last event that the caller received of an interrupted stream; undefined when it
   * resumes none.
   */
  readonly afterEvent: number | undefined;
  /** Identifier of the request that brought the first event of that stream; empty if not named. */
  readonly resumedRequest: string;
  /** Time of arrival, in milliseconds on the monotonic clock. */
  readonly arrivedAt: number;
  /** Set for a call that another node sent because it does not reach the servers. */
  readonly relayed: {
    /** Version of the configuration that the other node has applied. */
    readonly minimumConfiguration: number;
  } | undefined;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}
