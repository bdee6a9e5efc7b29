/** A request to the scoring service; the signature of its response is the score of a sample. */
export interface ScoringRequest {
  readonly identifier: string;
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

/** A part of a prompt that other samples may share. */
export interface PromptPart {
  readonly identifier: string;
  /** Number of tokens. */
  readonly tokens: number;
}

/** A request for one sample of a step. */
export interface SampleRequest {
  readonly identifier: string;
  readonly path: string;
  /** Headers of the request to the engine. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Sum of the prompt tokens and the maximum output tokens. */
  readonly tokens: number;
  /** Expected number of output tokens; undefined when the trainer gave no estimate. */
  readonly expectedTokens: number | undefined;
  /** Maximum number of output tokens; undefined when the trainer set none. */
  readonly maximumTokens: number | undefined;
  /** Parts of the prompt in order; the last one belongs to this sample alone. */
  readonly promptParts: ReadonlyArray<PromptPart>;
  /**
   * Identifier of the sample's group; a group's samples share a prompt and count once all are
   * complete.
   */
  readonly group: string;
  readonly scoring: ScoringRequest | undefined;
}

/** A step as submitted by its trainer. */
export interface StepSubmission {
  readonly step: number;
  readonly model: string;
  /** Oldest weight version that may generate the step's texts. */
  readonly minimumVersion: number;
  /** Number of complete groups that the trainer waits for. */
  readonly targetGroups: number;
  readonly samples: ReadonlyArray<SampleRequest>;
}

/** Parses the body of a submission; returns undefined when it is malformed. */
export type ReadSubmission = (body: Buffer) => StepSubmission | undefined;
