/** Fault of a declaration, with its position in the file. */
export interface LocatedFault {
  /** Line in the file, from 1. */
  readonly line: number;
  /** Path of the field, such as "routes[2].service"; empty for a syntax error. */
  readonly field: string;
  readonly problem: string;
  readonly remedy: string;
}
