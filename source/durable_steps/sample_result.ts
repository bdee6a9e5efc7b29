/** A sample as it is listed; its position and content never change. */
export type SampleResult =
  | {
    readonly kind: "completed";
    readonly identifier: string;
    /** Data of all events in order, separated by line feeds. */
    readonly text: string;
    /** All weight versions that made an event of the text, in order. */
    readonly weightVersions: ReadonlyArray<number>;
    /** Signature of the scoring answer; absent where no score was asked. */
    readonly score?: string;
  }
  | { readonly kind: "terminated"; readonly identifier: string };
