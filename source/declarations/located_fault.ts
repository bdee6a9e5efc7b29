/** A fault of a declaration, with its place in the file. */
export interface LocatedFault {
  /** Counted from 1. */
  readonly line: number;
  /** Such as "routes[2].service"; empty for a fault of syntax. */
  readonly field: string;
  readonly problem: string;
  readonly remedy: string;
}
