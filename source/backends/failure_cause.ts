/** Why an exchange with a backend server has no complete answer. */
export type FailureCause =
  /** No connection could be established. */
  | "connect"
  /** The server was no longer allowed to get new work when the first byte was to be written. */
  | "withheld"
  /** The server reported that it did not run the request. */
  | "refused"
  /** This node cancelled the exchange. */
  | "cancelled"
  /** The connection was closed before the end of the answer. */
  | "cut"
  /** No byte arrived within the inactivity timeout. */
  | "silent"
  /** The server answered with an error status. */
  | "status"
  /** The answer contradicts itself or belongs to another request. */
  | "untrusted";
