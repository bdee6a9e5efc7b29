// deno-lint-ignore-file explicit-function-return-type
const SAMPLE_MILLISECONDS = 100;

/** Samples how full the engines of services are. */
export class EngineUse {
  #samples = [];
  #timer;

  /** @param listEngines - Returns the engines to which the configuration in force sends items. */
  constructor(listEngines) {
    this.#timer = setInterval(() => {
      const engines = listEngines();
      const slots = engines.reduce((sum, engine) => sum + engine.slots, 0);
      const running = engines.reduce((sum, engine) => sum + engine.running, 0);
      this.#samples.push({ at: performance.now(), share: running / slots });
    }, SAMPLE_MILLISECONDS);
  }

  /** Stops, and returns the largest share of the slots that was taken in the last milliseconds. */
  findLargest(milliseconds) {
    clearInterval(this.#timer);
    const since = performance.now() - milliseconds;
    const recent = this.#samples.filter(({ at }) => at >= since);
    return Math.max(...recent.map(({ share }) => share));
  }
}
