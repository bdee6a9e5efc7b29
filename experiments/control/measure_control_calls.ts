import { create } from "@bufbuild/protobuf";
import {
  ServiceKind,
  ServiceSchema,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import type { BackendServerView } from "../../source/backends/backend_server_state.ts";
import { LeaseElector } from "../../source/control/lease_elector.ts";
import { ServiceAutoscaler } from "../../source/control/service_autoscaler.ts";
import { UsageReporter } from "../../source/control/usage_reporter.ts";
import { LocalUsageCounters } from "../../source/control/local_usage_counters.ts";
import { ManualClock } from "../../source/utilities/manual_clock.ts";
import { ControlNode } from "../../stand_ins/control/control_node.ts";
import { FactBus } from "../../stand_ins/entry/fact_bus.ts";
import { FAST_RESPONSE } from "../../stand_ins/platform/local_platform.ts";
import {
  createPlatformState,
  type PlatformState,
} from "../../stand_ins/platform/platform_state.ts";

const SIZES = [3, 10, 30, 100];
const ORGANISATIONS = 8;
const SERVICES = ["dot-models", "comenzi-app"];
const WARM_UP_SECONDS = 60;
const MEASURED_SECONDS = 240;
const LEASE_MILLISECONDS = 6_000;
const WINDOW_MILLISECONDS = 60_000;

interface Calls {
  tableReads: number;
  tableWrites: number;
  other: number;
}

const NO_SERVERS: BackendServerView = {
  servers: () => [],
  isAvailable: () => true,
  markUnreachable: () => {},
};

function startNode(name: string, given: {
  readonly clock: ManualClock;
  readonly state: PlatformState;
  readonly bus: FactBus;
  readonly calls: Calls;
  readonly seed: number;
  readonly size: number;
}): LocalUsageCounters {
  const { clock, state, bus, calls, seed, size } = given;
  const node = new ControlNode({ name, clock, state, seed });
  node.context.settings.leaseMilliseconds = LEASE_MILLISECONDS;
  node.context.settings.usageWindowMilliseconds = WINDOW_MILLISECONDS;
  node.chooseBehaviour = (area, writtenTable) => {
    if (area !== "table") calls.other += 1;
    else if (writtenTable === "") calls.tableReads += 1;
    else calls.tableWrites += 1;
    return FAST_RESPONSE;
  };
  const { context } = node;
  const facts = bus.join(name);
  const countLeaseCandidates = (): number => size;
  const lease = new LeaseElector({
    context,
    name: "usage",
    countLeaseCandidates,
  });
  const counters = new LocalUsageCounters({ context, replicatedFacts: facts });
  void lease.run();
  void counters.run();
  void new UsageReporter({ context, replicatedFacts: facts, counters, lease })
    .run();
  for (const service of SERVICES) {
    const declared = create(ServiceSchema, {
      name: service,
      kind: ServiceKind.MODEL,
      failureDomains: ["cluj-a", "iasi-b", "suceava-c"],
      minimumServers: 0,
      maximumServers: 0,
    });
    void new ServiceAutoscaler({
      context,
      name: service,
      service: () => declared,
      servers: NO_SERVERS,
      boundMicrosPerHour: () => 0,
      countLeaseCandidates,
    }).run();
  }
  return counters;
}

async function measure(
  size: number,
): Promise<Calls & { readonly copy: number }> {
  const clock = new ManualClock();
  const state = createPlatformState({ clock });
  const bus = new FactBus({ clock, delayMilliseconds: 50 });
  const calls: Calls = { tableReads: 0, tableWrites: 0, other: 0 };
  const countersOfNodes = Array.from(
    { length: size },
    (_, seed) =>
      startNode(`node-${seed}`, { clock, state, bus, calls, seed, size }),
  );
  for (let second = 0; second < WARM_UP_SECONDS + MEASURED_SECONDS; second++) {
    if (second === WARM_UP_SECONDS) {
      Object.assign(calls, { tableReads: 0, tableWrites: 0, other: 0 });
    }
    for (const counters of countersOfNodes) {
      counters.record(`organisation-${second % ORGANISATIONS}`, {
        requests: 1,
        promptTokens: 100,
        generatedTokens: 100,
      });
    }
    await clock.advance(1000);
  }
  const copies = state.objects.list("usage/merged/");
  const copy = state.objects.get(copies.at(-1) ?? "")?.length ?? 0;
  return { ...calls, copy };
}

console.log(
  `in-memory run, ${MEASURED_SECONDS} s, ${SERVICES.length} services, ${ORGANISATIONS} organisations`,
);
console.log(
  "nodes | table reads/s | table writes/s | other calls/s | usage copy KB",
);
for (const size of SIZES) {
  const { tableReads, tableWrites, other, copy } = await measure(size);
  console.log([
    size,
    (tableReads / MEASURED_SECONDS).toFixed(2),
    (tableWrites / MEASURED_SECONDS).toFixed(2),
    (other / MEASURED_SECONDS).toFixed(2),
    (copy / 1024).toFixed(1),
  ].join(" | "));
}
