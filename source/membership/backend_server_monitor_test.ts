import test, { type ExecutionContext } from "ava";
import { IDLE_LOAD } from "../../stand_ins/membership/fake_engines.ts";
import {
  type GroupMember,
  MembershipGroup,
  waitUntil,
} from "../../stand_ins/membership/membership_group.ts";
import type { ListedInstance } from "../platform/instance_list_client.ts";

const DOMAINS = ["domain-a", "domain-b", "domain-c"];
const SERVICE = "dot-models";

function listServer(group: MembershipGroup, index: number): string {
  const address = `10.0.0.${index}:8000`;
  const instance: ListedInstance = {
    kind: "backendServer",
    name: address,
    address,
    failureDomain: DOMAINS[index % DOMAINS.length] ?? "",
    service: SERVICE,
    tier: "cheap",
    leaving: false,
    microsPerHour: 7,
  };
  group.platform.addInstance(instance);
  group.engines.loads.set(address, {
    ...IDLE_LOAD,
    startIdentity: `engine-${index}`,
  });
  return address;
}

async function startGroup(
  t: ExecutionContext,
  size: number,
  servers: number,
): Promise<{
  readonly group: MembershipGroup;
  readonly addresses: ReadonlyArray<string>;
}> {
  const group = new MembershipGroup();
  t.teardown(() => group.close());
  const addresses = Array.from(
    { length: servers },
    (_none, index) => listServer(group, index),
  );
  for (let index = 0; index < size; index += 1) {
    const failureDomain = DOMAINS[index % DOMAINS.length] ?? "";
    await group.start(`node-${index}`, { failureDomain });
  }
  await waitUntilAvailable(group, addresses, true);
  return { group, addresses };
}

function membersOf(group: MembershipGroup): ReadonlyArray<GroupMember> {
  return [...group.members.values()];
}

function waitUntilAvailable(
  group: MembershipGroup,
  addresses: ReadonlyArray<string>,
  wanted: boolean,
): Promise<void> {
  return waitUntil(
    () =>
      membersOf(group).every(({ membership }) =>
        addresses.every((address) =>
          membership.backendServers.isAvailable(address) === wanted
        )
      ),
    `${addresses} available: ${wanted}`,
  );
}

test("a drain notice to only one node reaches all nodes", async (t) => {
  const { group, addresses } = await startGroup(t, 5, 3);
  const [first = "", second = ""] = addresses;
  group.members.get("node-4")?.membership.backendServers.markLeaving?.(first);
  await waitUntilAvailable(group, [first], false);
  t.true(
    membersOf(group).every(({ membership }) =>
      membership.backendServers.isAvailable(second)
    ),
  );
  for (const { membership } of membersOf(group)) {
    const server = membership.backendServers.servers(SERVICE)
      .find(({ address }) => address === first);
    t.like(server, { leaving: true, failureDomain: "domain-a", tier: "cheap" });
  }
});

test("a drain notice stays in force after the node that received it is killed", async (t) => {
  const { group, addresses } = await startGroup(t, 4, 2);
  const [first = ""] = addresses;
  const receiver = group.members.get("node-3");
  receiver?.membership.backendServers.markLeaving?.(first);
  await waitUntilAvailable(group, [first], false);
  await receiver?.kill();
  const laterNode = await group.start("node-9");
  await waitUntil(
    () =>
      laterNode.membership.backendServers.servers(SERVICE)
        .some(({ address, leaving }) => address === first && leaving),
    "a node started later receives the notice",
  );
  await waitUntilAvailable(group, [first], false);
  t.pass();
});

test("a drain notice for a whole failure domain reaches all nodes while the instance list is down", async (t) => {
  const { group, addresses } = await startGroup(t, 4, 9);
  group.platform.isInstanceListDown = true;
  const leaving = addresses.filter((_address, index) => index % 3 === 0);
  for (const address of leaving) {
    group.engines.updateLoad(address, { leaving: true });
  }
  await waitUntilAvailable(group, leaving, false);
  const staying = addresses.filter((address) => !leaving.includes(address));
  await waitUntilAvailable(group, staying, true);
  t.pass();
});

test("a failed server is unavailable on all nodes, and its next incarnation is available", async (t) => {
  const { group, addresses } = await startGroup(t, 4, 2);
  const [first = ""] = addresses;
  for (const start of ["engine-a", "engine-b"]) {
    group.engines.loads.delete(first);
    group.members.get("node-0")?.membership.backendServers
      .markUnreachable(first);
    await waitUntilAvailable(group, [first], false);
    group.engines.loads.set(first, { ...IDLE_LOAD, startIdentity: start });
    await waitUntilAvailable(group, [first], true);
  }
  t.pass();
});

test("three nodes publish the load and weight versions of a server, and all nodes receive them", async (t) => {
  const { group, addresses } = await startGroup(t, 6, 3);
  const [first = ""] = addresses;
  group.engines.updateLoad(first, { running: 40, weightVersions: [2, 3] });
  await waitUntil(
    () =>
      membersOf(group).every(({ membership }) =>
        membership.backendServers.servers(SERVICE).some((server) =>
          server.address === first && server.running > 30 &&
          server.weightVersions.join() === "2,3"
        )
      ),
    "all nodes have received the change",
  );
  const replicatedFacts = membersOf(group)[0]?.membership.replicatedFacts;
  await waitUntil(
    () => {
      const publishers = replicatedFacts?.facts("backendServer")
        .filter(({ key, value }) => key === first && value.reachable);
      return publishers !== undefined && publishers.length === 3;
    },
    "three nodes publish facts about the server",
  );
  t.pass();
});

test("nodes disconnected for longer than the origin expiry keep their own view and reconnect", async (t) => {
  const { group, addresses } = await startGroup(t, 6, 3);
  const inDomain = membersOf(group).filter((_member, index) => index % 3 === 0);
  for (const { relay: link } of membersOf(group)) link.isRefusing = true;
  for (const { relay: link } of membersOf(group)) link.destroyConnections();
  await waitUntil(
    () =>
      membersOf(group).every(({ log }) =>
        log.events.some(({ name }) => name === "originExpired")
      ),
    "the facts of the other nodes are removed",
  );
  await waitUntilAvailable(group, addresses, true);
  group.engines.updateLoad(addresses[0] ?? "", { leaving: true });
  await waitUntilAvailable(group, addresses.slice(0, 1), false);
  for (const { relay: link } of membersOf(group)) link.isRefusing = false;
  await waitUntil(
    () =>
      inDomain.every(({ membership }) =>
        membership.peers.peers().filter(({ nodeStart }) => nodeStart !== "")
          .length === 5
      ),
    "the nodes of one failure domain have reconnected",
  );
  await waitUntilAvailable(group, addresses.slice(0, 1), false);
  await waitUntilAvailable(group, addresses.slice(1), true);
  t.pass();
});
