import { build, type Histogram } from "hdr-histogram-js";

/** Measurements of the requests of one organisation. */
export class OrganisationMeasure {
  /** Name of the organisation. */
  readonly organisation: string;
  readonly #latencies: Histogram = build();
  #requests = 0;
  #met = 0;
  #refused = 0;

  /** @param organisation - Name of the organisation. */
  constructor(organisation: string) {
    this.organisation = organisation;
  }

  /** Counts a complete response by its latency and its latency target, both in milliseconds. */
  countResponse(milliseconds: number, target: number): void {
    this.#requests += 1;
    this.#latencies.recordValue(Math.round(milliseconds));
    if (milliseconds <= target) this.#met += 1;
  }

  /** Counts a refusal, which misses the target. */
  countRefusal(): void {
    this.#requests += 1;
    this.#refused += 1;
  }

  /** Share of all requests that met their target, in thousandths. */
  get metPermille(): number {
    return this.#requests === 0
      ? 1000
      : Math.round(this.#met / this.#requests * 1000);
  }

  /** Share of all requests that were refused, in thousandths. */
  get refusedPermille(): number {
    return this.#requests === 0
      ? 0
      : Math.round(this.#refused / this.#requests * 1000);
  }

  /** 99th percentile of the latency of responses, in milliseconds. */
  get p99(): number {
    return this.#latencies.getValueAtPercentile(99);
  }
}
