import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";

const INITIAL_SLOTS_PER_SERVER = 8;
const NEARLY_FULL_SHARE = 0.8;
const SLOT_GROWTH_FACTOR = 1.25;
// One report lowers the estimate to no less than this share of the previous estimate.
const DECREASE_FLOOR_SHARE = 0.75;

/** Capacity of a service's backend servers, shared by all nodes. */
export interface ServiceCapacity {
  /** Estimated number of requests that the servers run at once. */
  readonly slots: number;
  /** Requests running or waiting at the servers according to their last load reports. */
  readonly occupied: number;
  /** Mean age of the load reports, each counted as at most 10 s, in milliseconds. */
  readonly reportAgeMilliseconds: number;
  /** Number of servers that accept new work. */
  readonly servers: number;
}

interface SlotEstimate {
  readonly slots: number;
  /** Monotonic time in milliseconds. */
  readonly reportedAt: number;
}

/**
 * Estimates from load reports how many requests each backend server runs at once. A server with
 * waiting requests has no free slot, so its running requests are its slots; the estimate grows for a
 * server that is nearly full and has no waiting requests.
 */
export class CapacityEstimate {
  readonly #view: BackendServerView;
  /** Slot estimates, by service and then by server address. */
  #estimates = new Map<string, Map<string, SlotEstimate>>();

  /** @param view - This node's view of the backend servers. */
  constructor(view: BackendServerView) {
    this.#view = view;
  }

  /**
   * Updates the slot estimates from the newest load reports and returns the service's capacity.
   * @param service - The service's name.
   * @param now - Monotonic time in milliseconds.
   */
  observe(service: string, now: number): ServiceCapacity {
    const previous = this.#estimates.get(service) ?? new Map();
    const estimates = new Map<string, SlotEstimate>();
    let slots = 0;
    let occupied = 0;
    let age = 0;
    for (const server of this.#view.servers(service)) {
      const next = estimateSlots(server, previous.get(server.address), now);
      estimates.set(server.address, next);
      if (!this.#isUsable(server)) continue;
      slots += next.slots;
      occupied += server.running + server.waiting;
      age += Math.min(
        server.loadAgeMilliseconds,
        MAXIMUM_REPORT_AGE_MILLISECONDS,
      );
    }
    this.#estimates.set(service, estimates);
    const servers =
      [...estimates.keys()].filter((address) => this.#view.isAvailable(address))
        .length;
    return {
      slots,
      occupied,
      servers,
      reportAgeMilliseconds: age / Math.max(1, servers),
    };
  }

  #isUsable(server: BackendServerState): boolean {
    return !server.leaving && server.reachable &&
      this.#view.isAvailable(server.address);
  }
}

const MAXIMUM_REPORT_AGE_MILLISECONDS = 10_000;
/** Reports whose times differ by less than this count as the same report. */
const SAME_REPORT_TOLERANCE_MILLISECONDS = 20;

function estimateSlots(
  server: BackendServerState,
  previous: SlotEstimate | undefined,
  now: number,
): SlotEstimate {
  const reportedAt = now - server.loadAgeMilliseconds;
  const slots = previous?.slots ?? INITIAL_SLOTS_PER_SERVER;
  const isSameReport = previous !== undefined &&
    Math.abs(previous.reportedAt - reportedAt) <
      SAME_REPORT_TOLERANCE_MILLISECONDS;
  if (isSameReport) return previous;
  if (server.waiting > 0) {
    const lowest = previous === undefined ? 1 : slots * DECREASE_FLOOR_SHARE;
    return { slots: Math.max(1, lowest, server.running), reportedAt };
  }
  if (server.running < slots * NEARLY_FULL_SHARE) return { slots, reportedAt };
  const grown = Math.ceil(server.running * SLOT_GROWTH_FACTOR) + 1;
  return { slots: Math.max(slots, grown), reportedAt };
}
