import type {
  EngineClient,
  EngineLoad,
} from "../../source/backends/engine_client.ts";

const SLOTS = 64;
const PERIOD_MILLISECONDS = 60_000;
const WEIGHTS_INTERVAL_MILLISECONDS = 180_000;
const NOISE_INTERVAL_MILLISECONDS = 1000;

/**
 * Simulated engines whose load follows a sine with a period of one minute, plus noise; at the same
 * time, all processes compute the same load.
 */
export class VaryingEngines {
  /** Numbers of running requests that the driver set, by address. */
  readonly fixedLoads = new Map<string, number>();
  /** Number of load requests. */
  loadRequests = 0;
  /** Client that nodes use; it implements only `readLoad`. */
  readonly client: EngineClient;

  constructor() {
    const client: Pick<EngineClient, "readLoad"> = {
      readLoad: (address) => {
        this.loadRequests += 1;
        return Promise.resolve(this.#load(address));
      },
    };
    this.client = client as EngineClient;
  }

  #load(address: string): EngineLoad {
    const now = Date.now();
    const seed = hash(address);
    const second = Math.floor(now / NOISE_INTERVAL_MILLISECONDS);
    const angle = 2 * Math.PI * (now / PERIOD_MILLISECONDS + seed / 2 ** 32);
    const noise = (hash(`${address} ${second}`) / 2 ** 32 - 0.5) * 8;
    const varying = Math.round(SLOTS / 2 + 20 * Math.sin(angle) + noise);
    const running = this.fixedLoads.get(address) ?? varying;
    const version = Math.floor(now / WEIGHTS_INTERVAL_MILLISECONDS);
    return {
      startIdentity: seed.toString(16).padStart(8, "0"),
      running,
      waiting: Math.max(0, running - 48),
      cacheFreePermille: Math.round(1000 * (1 - running / (SLOTS + 8))),
      weightVersions: [version - 1, version],
      leaving: false,
      tokensPerSecond: running * 55,
    };
  }
}

function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
  }
  value = Math.imul(value ^ (value >>> 15), 0x2c1b3c6d);
  return (value ^ (value >>> 13)) >>> 0;
}
