/** A request whose signed answer is a sample's score. */
export interface ScoringRequest {
  readonly identifier: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

/** One sample that a step asks for. */
export interface SampleRequest {
  readonly identifier: string;
  readonly path: string;
  /** Headers for the engine. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Prompt tokens and the most output tokens together. */
  readonly tokens: number;
  /** Estimate of output tokens; undefined when the trainer gave none. */
  readonly expectedTokens: number | undefined;
  /** Samples of one group share their prompt and count together. */
  readonly group: string;
  readonly scoring: ScoringRequest | undefined;
}

/** A step as its trainer submitted it. */
export interface StepSubmission {
  readonly step: number;
  readonly model: string;
  /** Oldest weight version that may make its texts. */
  readonly minimumVersion: number;
  /** Whole groups that the trainer waits for. */
  readonly targetGroups: number;
  readonly samples: ReadonlyArray<SampleRequest>;
}

/** Reads a submission as it came; undefined when it is malformed. */
export type ReadSubmission = (body: Buffer) => StepSubmission | undefined;
