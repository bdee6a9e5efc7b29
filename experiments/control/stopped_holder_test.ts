import test from "ava";
import type { ReceivedOrder } from "../../stand_ins/platform/order_processor.ts";
import { Deployment, type RunningNode } from "../deployment/deployment.ts";
import { LAYOUTS } from "../deployment/layout.ts";

const NODES = 3;
const LEASE = "orders/dot-models";
const MAXIMUM_WAITS = 600;
const WAIT_MILLISECONDS = 50;
const ROUNDS = 2;

async function readJson<Value>(
  deployment: Deployment,
  path: string,
): Promise<Value> {
  const response = await fetch(`http://${deployment.platformAddress}${path}`);
  return await response.json() as Value;
}

async function readOrders(
  deployment: Deployment,
): Promise<ReadonlyArray<ReceivedOrder>> {
  const { orders } = await readJson<{ orders: ReadonlyArray<ReceivedOrder> }>(
    deployment,
    "/orders",
  );
  return orders.filter(({ order }) => order.service === "dot-models");
}

async function readHolder(deployment: Deployment): Promise<string> {
  const row = await readJson<{ value?: string }>(
    deployment,
    `/table/leases/${LEASE}`,
  );
  return JSON.parse(row.value ?? "{}").holder ?? "";
}

async function waitUntil(
  isMet: () => Promise<boolean>,
  awaited: string,
): Promise<void> {
  for (let wait = 0; wait < MAXIMUM_WAITS; wait++) {
    if (await isMet()) return;
    await new Promise((resolve) => setTimeout(resolve, WAIT_MILLISECONDS));
  }
  throw new Error(`Timed out waiting for ${awaited}`);
}

/** Reclaims all cheap servers of a failure domain, so that the lease holder orders new ones. */
async function reclaim(
  deployment: Deployment,
  failureDomain: string,
): Promise<void> {
  await fetch(`http://${deployment.platformAddress}/reclaim`, {
    method: "POST",
    body: JSON.stringify({
      failureDomain,
      tier: "cheap",
      noticeMilliseconds: 0,
    }),
  });
}

async function waitForOrders(
  deployment: Deployment,
  count: number,
): Promise<void> {
  await waitUntil(
    async () => (await readOrders(deployment)).length >= count,
    `${count} orders`,
  );
}

function findNode(deployment: Deployment, name: string): RunningNode {
  const node = deployment.nodes.find((each) => each.name === name);
  if (node === undefined) throw new Error(`No node ${name}`);
  return node;
}

test("a lease holder suspended past its lease sends no order after its successor", async (t) => {
  const deployment = await Deployment.start({
    layout: { ...LAYOUTS.atbr, services: [] },
    nodes: NODES,
    nodeFlags: [
      "--lease-milliseconds=1000",
      "--order-deadline-milliseconds=500",
    ],
    platformFlags: [
      "--start-engines",
      "--plain-services=comenzi-app",
      "--ignores-fencing",
      "--list-lag-milliseconds=100",
    ],
  });
  try {
    const applied = await deployment.runCommand([
      "apply",
      LAYOUTS.atbr.declaration,
    ]);
    t.is(applied.status, 0, applied.output);
    await waitForOrders(deployment, 6);
    const holders: string[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      const holder = await readHolder(deployment);
      holders.push(holder);
      const { child } = findNode(deployment, holder).process;
      child.kill("SIGSTOP");
      await waitUntil(async () => {
        const next = await readHolder(deployment);
        return next !== holder && next !== "";
      }, "a successor");
      const before = (await readOrders(deployment)).length;
      await reclaim(deployment, LAYOUTS.atbr.failureDomains[round] ?? "");
      child.kill("SIGCONT");
      await waitForOrders(deployment, before + 1);
    }
    const numbers = (await readOrders(deployment)).map(({ order }) =>
      order.fencingNumber
    );
    t.deepEqual(numbers, [...numbers].sort((a, b) => a - b));
    t.true(new Set(numbers).size > ROUNDS);
    t.log(`holders ${holders.join(", ")}; ${numbers.length} orders`);
  } finally {
    for (const { process } of deployment.nodes) process.child.kill("SIGCONT");
    await deployment.stop();
  }
});
