/** What kept an exchange with a backend server from its whole answer. */
export type FailureCause =
  /** No connection came about. */
  | "connect"
  /** The server was not allowed new work when the first byte would have left. */
  | "withheld"
  /** The server said that it did not run the request. */
  | "refused"
  /** This node ended the exchange. */
  | "cancelled"
  /** The connection was cut. */
  | "cut"
  /** No byte came for too long. */
  | "silent"
  /** The server answered with an error. */
  | "status"
  /** The answer contradicts itself or belongs to another request. */
  | "untrusted";
