import type { EngineOptions } from "../../stand_ins/engine/engine_options.ts";
import type { TrialEvent } from "./trial.ts";

/** A condition under which policies are compared. */
export interface Scenario {
  readonly engine: Partial<EngineOptions>;
  readonly events: ReadonlyArray<TrialEvent>;
  readonly readsCacheEvents: boolean;
}

const EVENT_MILLISECONDS = 4_000;
const CALM: Scenario = { engine: {}, events: [], readsCacheEvents: true };

/** All scenarios. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  lag100: { ...CALM, engine: { loadLagMilliseconds: 100 } },
  lag500: { ...CALM, engine: { loadLagMilliseconds: 500 } },
  lag2000: { ...CALM, engine: { loadLagMilliseconds: 2_000 } },
  lag5000: { ...CALM, engine: { loadLagMilliseconds: 5_000 } },
  cacheEventsLost: { ...CALM, engine: { cacheEventLossShare: 0.5 } },
  noCacheEvents: { ...CALM, readsCacheEvents: false },
  smallCaches: { ...CALM, engine: { prefixCacheTokens: 4_096 } },
  slowEngine: {
    ...CALM,
    events: [{
      atMilliseconds: EVENT_MILLISECONDS,
      domain: 0,
      command: { kind: "behave", index: 0, options: { slowFactor: 5 } },
    }],
  },
  fastErrors: {
    ...CALM,
    events: [{
      atMilliseconds: EVENT_MILLISECONDS,
      domain: 0,
      command: { kind: "behave", index: 0, options: { fastErrors: true } },
    }],
  },
  domainGone: {
    ...CALM,
    events: [0, 1].map((index) => ({
      atMilliseconds: EVENT_MILLISECONDS,
      domain: 0,
      command: { kind: "stop", index },
    })),
  },
};
