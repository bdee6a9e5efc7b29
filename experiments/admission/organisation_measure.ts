import { build, type Histogram } from "hdr-histogram-js";

/** What one organisation got. */
export class OrganisationMeasure {
  /** Name of the organisation. */
  readonly organisation: string;
  readonly #latencies: Histogram = build();
  #asked = 0;
  #kept = 0;
  #refused = 0;

  /** @param organisation - Name of the organisation. */
  constructor(organisation: string) {
    this.organisation = organisation;
  }

  /** Counts a whole answer by the time since the request was due. */
  countAnswer(milliseconds: number, target: number): void {
    this.#asked += 1;
    this.#latencies.recordValue(Math.round(milliseconds));
    if (milliseconds <= target) this.#kept += 1;
  }

  /** Counts a refusal; its target is missed. */
  countRefusal(): void {
    this.#asked += 1;
    this.#refused += 1;
  }

  /** Share of all requests that kept their target, in thousandths. */
  get keptPermille(): number {
    return this.#asked === 0
      ? 1000
      : Math.round(this.#kept / this.#asked * 1000);
  }

  /** Share of all requests that were refused, in thousandths. */
  get refusedPermille(): number {
    return this.#asked === 0
      ? 0
      : Math.round(this.#refused / this.#asked * 1000);
  }

  /** Latency that 99 of 100 answers kept, in milliseconds. */
  get p99(): number {
    return this.#latencies.getValueAtPercentile(99);
  }
}
