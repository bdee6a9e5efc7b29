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
import { SpendKeeper } from "./spend_keeper.ts";

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

/** Two nodes that keep the servers of one service. */
class Bench {
  readonly clock = new ManualClock();
  readonly state = createPlatformState({
    clock: this.clock,
    startDelayMilliseconds: 20_000,
  });
  readonly first = this.#startNode("node-1");
  readonly second = this.#startNode("node-2");
  /** Requests that run or wait, over all servers. */
  load = 0;
  mostServers = 0;
  /** Addresses that are listed and cannot be reached. */
  readonly dead = new Set<string>();

  /** Makes the first server of the list unreachable. */
  killFirstServer(): void {
    this.dead.add(this.#servers()[0]?.address ?? "");
  }

  /** Dead servers that are listed still. */
  listedDead(): number {
    return this.#servers().filter(({ address }) => this.dead.has(address))
      .length;
  }

  async advance(milliseconds: number): Promise<void> {
    const end = this.clock.monotonic() + milliseconds;
    while (this.clock.monotonic() < end) {
      await this.clock.advance(STEP_MILLISECONDS);
      const servers = this.#servers().length;
      this.mostServers = Math.max(this.mostServers, servers);
    }
  }

  /** Servers by place, such as "cluj-a cheap 2". */
  counts(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const { failureDomain, tier } of this.#servers()) {
      const place = `${failureDomain} ${tier}`;
      counts[place] = (counts[place] ?? 0) + 1;
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
    const keeper = new SpendKeeper({
      context: node.context,
      service: () => SERVICE,
      name: SERVICE.name,
      servers: this.#view(),
      boundMicrosPerHour: () => 0,
    });
    void keeper.run();
    return node;
  }

  #view(): BackendServerView {
    return {
      servers: (service) => {
        const servers = this.state.instances.shown();
        return servers.map((server, index) => ({
          ...server,
          service,
          startIdentity: server.address,
          reachable: !this.dead.has(server.address),
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
      noteUnreachable: () => {},
    };
  }
}

const CASES: Readonly<Record<string, (bench: Bench) => Promise<void>>> = {
  "nothing is asked for": (bench) => bench.advance(SETTLE_MILLISECONDS),
  "load rises": async (bench) => {
    await bench.advance(60_000);
    bench.load = 20;
    await bench.advance(SETTLE_MILLISECONDS);
  },
  "load rises and falls": async (bench) => {
    await bench.advance(60_000);
    bench.load = 20;
    await bench.advance(SETTLE_MILLISECONDS);
    bench.load = 2;
    await bench.advance(4 * SETTLE_MILLISECONDS);
  },
  "a failure domain's cheap servers are reclaimed": async (bench) => {
    bench.load = 12;
    await bench.advance(SETTLE_MILLISECONDS);
    bench.state.orders.setAvailable("iasi-b", "cheap", false);
    void bench.state.orders.reclaim("iasi-b", "cheap", 5_000);
    await bench.advance(SETTLE_MILLISECONDS);
  },
  "a server dies and stays listed": async (bench) => {
    bench.load = 12;
    await bench.advance(SETTLE_MILLISECONDS);
    bench.killFirstServer();
    await bench.advance(SETTLE_MILLISECONDS);
  },
  "no cheap server can be had": async (bench) => {
    for (const domain of SERVICE.failureDomains) {
      bench.state.orders.setAvailable(domain, "cheap", false);
    }
    bench.load = 12;
    await bench.advance(SETTLE_MILLISECONDS);
  },
  "the holder is killed while servers start": async (bench) => {
    await bench.advance(60_000);
    bench.load = 40;
    await bench.advance(8_000);
    bench.first.kill();
    await bench.advance(SETTLE_MILLISECONDS);
  },
  "answers to orders are lost": async (bench) => {
    await bench.advance(60_000);
    bench.first.decideFate = (area) => ({
      kind: area === "orders" ? "answerLost" : "answered",
      sendMilliseconds: 1,
      answerMilliseconds: 1,
    });
    bench.load = 40;
    await bench.advance(SETTLE_MILLISECONDS);
  },
  "the platform is away while load rises, then back": async (bench) => {
    await bench.advance(60_000);
    const answer = bench.first.decideFate;
    for (const node of [bench.first, bench.second]) {
      node.decideFate = () => ({
        kind: "refused",
        sendMilliseconds: 0,
        answerMilliseconds: 0,
      });
    }
    bench.load = 20;
    await bench.advance(60_000);
    for (const node of [bench.first, bench.second]) node.decideFate = answer;
    await bench.advance(SETTLE_MILLISECONDS);
  },
};

for (const [title, happens] of Object.entries(CASES)) {
  test(`keeps servers when ${title}`, async (t) => {
    const bench = new Bench();
    await happens(bench);
    t.true(
      bench.mostServers <= MAXIMUM_SERVERS,
      `${bench.mostServers} servers`,
    );
    t.is(bench.listedDead(), 0);
    t.snapshot({ servers: bench.counts(), most: bench.mostServers });
  });
}
