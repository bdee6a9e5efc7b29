import { createServer } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { create } from "@bufbuild/protobuf";
import test from "ava";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import type { Peer } from "../membership/peer_directory.ts";
import type { NodeContext } from "../context/node_context.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { createAddressRoute } from "./address_route.ts";

const RANDOM_SEED = 5;

function createPeer(node: string, changes: Partial<Peer>): Peer {
  return {
    node,
    nodeStart: `start-of-${node}`,
    failureDomain: "cluj-a",
    peerAddress: `${node}:1`,
    callerAddress: `${node}:2`,
    leaving: false,
    configurationRevision: 1,
    ageMilliseconds: 0,
    ...changes,
  };
}

/** Returns the sorted names of the nodes in the address response of node `own`, which has the given peers. */
async function requestListedNodes(
  peers: ReadonlyArray<Peer>,
): Promise<string[]> {
  const context = {
    settings: create(NodeSettingsSchema, {
      node: "own",
      failureDomain: "cluj-a",
      addressKeepMilliseconds: 1000,
    }),
    random: createRandomSource(RANDOM_SEED),
  } as Partial<NodeContext> as NodeContext;
  const route = createAddressRoute({
    context,
    peers: { peers: () => peers },
    replicatedFacts: { facts: () => [] },
    ownAddress: () => "own:2",
    isLeaving: () => false,
  });
  const server = createServer((request, response) => {
    void route.handler({
      requestIdentifier: "request-1",
      caller: { organisation: "open", keyIdentifier: "", isTrainer: false },
      url: new URL("http://own/v1/addresses"),
      parameters: {},
      request,
      response,
      signal: new AbortController().signal,
      arrivedAt: 0,
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const answer = await fetch(`http://127.0.0.1:${port}/v1/addresses`);
  const body = await answer.json() as {
    addresses: ReadonlyArray<{ node: string }>;
  };
  server.close();
  return body.addresses.map(({ node }) => node).sort();
}

const CASES: Readonly<Record<string, ReadonlyArray<Peer>>> = {
  "live peers": [createPeer("a", {}), createPeer("b", {})],
  "a leaving peer": [createPeer("a", { leaving: true }), createPeer("b", {})],
  // The last heartbeat of peer a is older than MAXIMUM_PEER_AGE_MILLISECONDS, that of peer b is not.
  "a peer that may have started to leave since its last heartbeat": [
    createPeer("a", { ageMilliseconds: 7500 }),
    createPeer("b", { ageMilliseconds: 2600 }),
  ],
  // The last heartbeats of both peers are older than MAXIMUM_PEER_AGE_MILLISECONDS.
  "all peers, after this node was suspended": [
    createPeer("a", { ageMilliseconds: 7500 }),
    createPeer("b", { ageMilliseconds: 7400 }),
  ],
};

for (const [name, peers] of Object.entries(CASES)) {
  test(`address response: ${name}`, async (t) => {
    t.snapshot(await requestListedNodes(peers));
  });
}
