/** Work for which a server is wanted. */
export interface Placement {
  readonly service: string;
  readonly organisation: string;
  readonly classOfWork: string;
  /** Digests of the prompt's prefixes, salted by the organisation; empty for a plain call. */
  readonly prefixDigests: ReadonlyArray<string>;
  readonly promptTokens: number;
  /** Largest number of tokens to generate; 0 for a plain call. */
  readonly maximumTokens: number;
}
