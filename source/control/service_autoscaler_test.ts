import { create } from "@bufbuild/protobuf";
import test from "ava";
import {
  ServiceKind,
  ServiceSchema,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import { ControlNode } from "../../stand_ins/control/control_node.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import type { BackendServerView } from "../backends/backend_server_state.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { ServiceAutoscaler } from "./service_autoscaler.ts";

const MAXIMUM_SERVERS = 12;
const SLOTS = 4;
const SETTLE_MILLISECONDS = 200_000;
const STEP_MILLISECONDS = 500;
const SERVICE = create(ServiceSchema, {
  name: "dot-models",
  kind: ServiceKind.MODEL,
  failureDomains: ["cluj-a", "iasi-b", "suceava-c"],
  minimumServers: 2,
  maximumServers: MAXIMUM_SERVERS,
});

/** Two nodes that run an autoscaler for the same service. */
class AutoscalerSimulation {
  readonly clock = new ManualClock();
  readonly state = createPlatformState({
    clock: this.clock,
    startDelayMilliseconds: 20_000,
  });
  readonly first = this.#startNode("node-1");
  readonly second = this.#startNode("node-2");
  /** Running and waiting requests over all servers. */
  load = 0;
  mostServers = 0;
  /** Addresses of servers that are unreachable although they are listed. */
  readonly unreachable = new Set<string>();

  /** Makes the first listed server unreachable. */
  disconnectFirstServer(): void {
    this.unreachable.add(this.#servers()[0]?.address ?? "");
  }

  /** Counts the unreachable servers that are still listed. */
  countListedUnreachable(): number {
    return this.#servers()
      .filter(({ address }) => this.unreachable.has(address)).length;
  }

  async advance(milliseconds: number): Promise<void> {
    const end = this.clock.monotonic() + milliseconds;
    while (this.clock.monotonic() < end) {
      await this.clock.advance(STEP_MILLISECONDS);
      const servers = this.#servers().length;
      this.mostServers = Math.max(this.mostServers, servers);
    }
  }

  /** Counts servers by failure domain and tier, such as "cluj-a cheap". */
  counts(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { failureDomain, tier } of this.#servers()) {
      const slot = `${failureDomain} ${tier}`;
      counts[slot] = (counts[slot] ?? 0) + 1;
    }
    return counts;
  }

  #servers(): ReturnType<typeof this.state.instances.current> {
    return this.state.instances.current().filter(({ leaving }) => !leaving);
  }

  #startNode(name: string): ControlNode {
    const node = new ControlNode({
      name,
      clock: this.clock,
      state: this.state,
    });
    const autoscaler = new ServiceAutoscaler({
      context: node.context,
      service: () => SERVICE,
      name: SERVICE.name,
      servers: this.#view(),
      boundMicrosPerHour: () => 0,
    });
    void autoscaler.run();
    return node;
  }

  #view(): BackendServerView {
    return {
      servers: (service) => {
        const servers = this.state.instances.visible();
        return servers.map((server, index) => ({
          ...server,
          service,
          startIdentity: server.address,
          reachable: !this.unreachable.has(server.address),
          running: Math.min(SLOTS, Math.max(0, this.load - index * SLOTS)),
          waiting: index === 0
            ? Math.max(0, this.load - servers.length * SLOTS)
            : 0,
          loadAgeMilliseconds: 0,
          cacheFreePermille: 0,
          weightVersions: [],
          dispatchedByPeers: 0,
          tokensPerSecond: 0,
        }));
      },
      isAvailable: () => true,
      markUnreachable: () => {},
    };
  }
}

const CASES: Readonly<
  Record<string, (simulation: AutoscalerSimulation) => Promise<void>>
> = {
  "there is no load": (simulation) => simulation.advance(SETTLE_MILLISECONDS),
  "load rises": async (simulation) => {
    await simulation.advance(60_000);
    simulation.load = 20;
    await simulation.advance(SETTLE_MILLISECONDS);
  },
  "load rises and falls": async (simulation) => {
    await simulation.advance(60_000);
    simulation.load = 20;
    await simulation.advance(SETTLE_MILLISECONDS);
    simulation.load = 2;
    await simulation.advance(4 * SETTLE_MILLISECONDS);
  },
  "a failure domain's cheap servers are reclaimed": async (simulation) => {
    simulation.load = 12;
    await simulation.advance(SETTLE_MILLISECONDS);
    simulation.state.orders.setTierAvailable("iasi-b", "cheap", false);
    void simulation.state.orders.reclaim("iasi-b", "cheap", 5_000);
    await simulation.advance(SETTLE_MILLISECONDS);
  },
  "a server becomes unreachable and stays listed": async (simulation) => {
    simulation.load = 12;
    await simulation.advance(SETTLE_MILLISECONDS);
    simulation.disconnectFirstServer();
    await simulation.advance(SETTLE_MILLISECONDS);
  },
  "no cheap server is available": async (simulation) => {
    for (const domain of SERVICE.failureDomains) {
      simulation.state.orders.setTierAvailable(domain, "cheap", false);
    }
    simulation.load = 12;
    await simulation.advance(SETTLE_MILLISECONDS);
  },
  "the holder is killed while servers start": async (simulation) => {
    await simulation.advance(60_000);
    simulation.load = 40;
    await simulation.advance(8_000);
    simulation.first.kill();
    await simulation.advance(SETTLE_MILLISECONDS);
  },
  "responses to orders are lost": async (simulation) => {
    await simulation.advance(60_000);
    simulation.first.chooseBehaviour = (area) => ({
      kind: area === "orders" ? "answerLost" : "answered",
      requestDelayMilliseconds: 1,
      responseDelayMilliseconds: 1,
    });
    simulation.load = 40;
    await simulation.advance(SETTLE_MILLISECONDS);
  },
  "the platform is unreachable while load rises, then recovers": async (
    simulation,
  ) => {
    await simulation.advance(60_000);
    const initialFate = simulation.first.chooseBehaviour;
    for (const node of [simulation.first, simulation.second]) {
      node.chooseBehaviour = () => ({
        kind: "refused",
        requestDelayMilliseconds: 0,
        responseDelayMilliseconds: 0,
      });
    }
    simulation.load = 20;
    await simulation.advance(60_000);
    for (const node of [simulation.first, simulation.second]) {
      node.chooseBehaviour = initialFate;
    }
    await simulation.advance(SETTLE_MILLISECONDS);
  },
};

for (const [title, applyScenario] of Object.entries(CASES)) {
  test(`scales servers when ${title}`, async (t) => {
    const simulation = new AutoscalerSimulation();
    await applyScenario(simulation);
    t.true(
      simulation.mostServers <= MAXIMUM_SERVERS,
      `${simulation.mostServers} servers`,
    );
    t.is(simulation.countListedUnreachable(), 0);
    t.snapshot({ servers: simulation.counts(), most: simulation.mostServers });
  });
}
