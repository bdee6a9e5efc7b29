import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";

const FIRST_SLOTS_OF_A_SERVER = 8;
const BUSY_SHARE = 0.8;
const GROWTH = 1.25;
const SLOWEST_DECREASE = 0.75;

/** What a service's backend servers can carry, over all nodes. */
export interface ServiceCapacity {
  /** Requests that they run at once, as far as learned from their reports. */
  readonly slots: number;
  /** Requests running or waiting at them by their last reports. */
  readonly occupied: number;
  /** Mean age of the reports in milliseconds. */
  readonly reportAge: number;
  /** Servers that take new work. */
  readonly servers: number;
}

interface LearnedSlots {
  readonly slots: number;
  readonly reportedAt: number;
}

/**
 * Learns from load reports how many requests each backend server runs at once: a server with
 * requests waiting is full at what it runs, one that is nearly full with none waiting may carry more.
 */
export class CapacityEstimate {
  readonly #view: BackendServerView;
  #learned = new Map<string, Map<string, LearnedSlots>>();

  /** @param view - What this node believes of the backend servers. */
  constructor(view: BackendServerView) {
    this.#view = view;
  }

  /**
   * Learns from the newest reports and returns the service's capacity.
   * @param service - The service's name.
   * @param now - Monotonic time in milliseconds.
   */
  observe(service: string, now: number): ServiceCapacity {
    const before = this.#learned.get(service) ?? new Map();
    const learned = new Map<string, LearnedSlots>();
    let slots = 0;
    let occupied = 0;
    let age = 0;
    for (const server of this.#view.servers(service)) {
      const next = learnSlots(server, before.get(server.address), now);
      learned.set(server.address, next);
      if (!this.#isUsable(server)) continue;
      slots += next.slots;
      occupied += server.running + server.waiting;
      age += Math.min(server.loadAgeMilliseconds, MAXIMUM_AGE_MILLISECONDS);
    }
    this.#learned.set(service, learned);
    const servers =
      [...learned.keys()].filter((address) => this.#view.isAvailable(address))
        .length;
    return { slots, occupied, servers, reportAge: age / Math.max(1, servers) };
  }

  #isUsable(server: BackendServerState): boolean {
    return !server.leaving && server.reachable &&
      this.#view.isAvailable(server.address);
  }
}

const MAXIMUM_AGE_MILLISECONDS = 10_000;
const SAME_REPORT_MILLISECONDS = 20;

function learnSlots(
  server: BackendServerState,
  before: LearnedSlots | undefined,
  now: number,
): LearnedSlots {
  const reportedAt = now - server.loadAgeMilliseconds;
  const slots = before?.slots ?? FIRST_SLOTS_OF_A_SERVER;
  const isSameReport = before !== undefined &&
    Math.abs(before.reportedAt - reportedAt) < SAME_REPORT_MILLISECONDS;
  if (isSameReport) return before;
  if (server.waiting > 0) {
    const lowest = before === undefined ? 1 : slots * SLOWEST_DECREASE;
    return { slots: Math.max(1, lowest, server.running), reportedAt };
  }
  if (server.running < slots * BUSY_SHARE) return { slots, reportedAt };
  const grown = Math.ceil(server.running * GROWTH) + 1;
  return { slots: Math.max(slots, grown), reportedAt };
}
