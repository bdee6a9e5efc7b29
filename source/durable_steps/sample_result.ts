/** The listed result of a sample; its position and content never change. */
export type SampleResult =
  | {
    readonly kind: "completed";
    readonly identifier: string;
    /** Data of all events in order, separated by line feeds. */
    readonly text: string;
    /** Weight versions that generated the text, in the order of their first event. */
    readonly weightVersions: ReadonlyArray<number>;
    /** Signature of the scoring response; absent when the sample has no scoring request. */
    readonly score?: string;
  }
  | { readonly kind: "terminated"; readonly identifier: string };
