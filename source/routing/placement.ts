/** Work to place on a server. */
export interface Placement {
  readonly service: string;
  readonly organisation: string;
  readonly classOfWork: string;
  /** Digests of the prompt's prefixes, salted by the organisation; empty for a plain call. */
  readonly prefixDigests: ReadonlyArray<string>;
  /** Estimated number of prompt tokens; 0 for a plain call. */
  readonly promptTokens: number;
  /** Maximum number of tokens to generate; 0 for a plain call. */
  readonly maximumTokens: number;
}
