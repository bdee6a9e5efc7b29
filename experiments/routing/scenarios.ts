import type { EngineOptions } from "../../stand_ins/engine/engine_options.ts";
import type { TrialEvent } from "./trial.ts";

/** Conditions under which routing policies are compared. */
export interface Scenario {
  readonly engine: Partial<EngineOptions>;
  readonly events: ReadonlyArray<TrialEvent>;
  readonly readsCacheEvents: boolean;
}

const EVENT_MILLISECONDS = 4_000;
const NO_FAULTS: Scenario = { engine: {}, events: [], readsCacheEvents: true };

/** Scenarios by name. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  lag100: { ...NO_FAULTS, engine: { loadLagMilliseconds: 100 } },
  lag500: { ...NO_FAULTS, engine: { loadLagMilliseconds: 500 } },
  lag2000: { ...NO_FAULTS, engine: { loadLagMilliseconds: 2_000 } },
  lag5000: { ...NO_FAULTS, engine: { loadLagMilliseconds: 5_000 } },
  cacheEventsLost: { ...NO_FAULTS, engine: { cacheEventLossShare: 0.5 } },
  noCacheEvents: { ...NO_FAULTS, readsCacheEvents: false },
  smallCaches: { ...NO_FAULTS, engine: { prefixCacheTokens: 4_096 } },
  slowEngine: {
    ...NO_FAULTS,
    events: [{
      atMilliseconds: EVENT_MILLISECONDS,
      domain: 0,
      command: { kind: "behave", index: 0, options: { slowFactor: 5 } },
    }],
  },
  fastErrors: {
    ...NO_FAULTS,
    events: [{
      atMilliseconds: EVENT_MILLISECONDS,
      domain: 0,
      command: { kind: "behave", index: 0, options: { fastErrors: true } },
    }],
  },
  domainGone: {
    ...NO_FAULTS,
    events: [0, 1].map((index) => ({
      atMilliseconds: EVENT_MILLISECONDS,
      domain: 0,
      command: { kind: "stop", index },
    })),
  },
};
