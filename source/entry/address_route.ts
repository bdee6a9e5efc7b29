import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { NodeContext } from "../context/node_context.ts";
import { type ListedNode, orderAddresses } from "./address_order.ts";
import type { EntryExchange, EntryRoute } from "./entry_handler.ts";
import { sendRefusal } from "./refusal.ts";

const FAILURE_DOMAIN_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;

/**
 * Maximum age of a peer's last heartbeat for the peer to appear in address responses, in milliseconds. Without
 * the limit, a node that resumes after a suspension would send callers to peers that have left in the meantime.
 */
export const MAXIMUM_PEER_AGE_MILLISECONDS = 3500;

/** Components of the node that address responses are made from. */
export interface AddressRouteOptions {
  readonly context: NodeContext;
  readonly peers: Pick<PeerDirectory, "peers">;
  readonly replicatedFacts: Pick<ReplicatedFacts, "facts">;
  /** Returns the address of this node for callers, as HOST:PORT. */
  readonly ownAddress: () => string;
  /** Returns whether this node is shutting down. */
  readonly isLeaving: () => boolean;
}

/**
 * Creates the route that returns the addresses of the nodes that callers may use.
 * @param options - Components of the node.
 * @example
 * ```ts
 * const routes = [createAddressRoute({ context, peers, replicatedFacts, ownAddress, isLeaving })];
 * ```
 */
export function createAddressRoute(options: AddressRouteOptions): EntryRoute {
  return {
    method: "GET",
    path: "/v1/addresses",
    authentication: "none",
    handler: (exchange) => sendAddresses(exchange, options),
  };
}

async function sendAddresses(
  exchange: EntryExchange,
  options: AddressRouteOptions,
): Promise<void> {
  const { response, url } = exchange;
  const failureDomain = url.searchParams.get("failure_domain") ?? "";
  if (failureDomain !== "" && !FAILURE_DOMAIN_PATTERN.test(failureDomain)) {
    return sendRefusal(response, {
      error: "invalidRequest",
      message:
        "The failure domain must have 1 to 64 letters, digits, dots, hyphens or underscores",
      ran: "notRun",
      field: "failure_domain",
    });
  }
  const { settings, random } = options.context;
  const ordered = orderAddresses(listNodes(options), { failureDomain, random });
  const keepSeconds = settings.addressKeepMilliseconds / 1000;
  response.setHeader("content-type", "application/json");
  response.setHeader("cache-control", `max-age=${Math.floor(keepSeconds)}`);
  const addresses = ordered.map(({ node, address, failureDomain }) => ({
    node,
    address,
    failureDomain,
  }));
  response.end(JSON.stringify({ addresses, keepSeconds }) + "\n");
}

function listNodes(options: AddressRouteOptions): ReadonlyArray<ListedNode> {
  const { settings } = options.context;
  const loads = new Map(
    options.replicatedFacts.facts("node").map((
      fact,
    ) => [fact.key, fact.value.loadPermille]),
  );
  const own: ListedNode = {
    node: settings.node,
    address: options.ownAddress(),
    failureDomain: settings.failureDomain,
    leaving: options.isLeaving(),
    loadPermille: loads.get(settings.node) ?? 0,
  };
  const others = options.peers.peers()
    .filter((peer) => peer.node !== settings.node && peer.callerAddress !== "")
    .filter((peer) => peer.ageMilliseconds <= MAXIMUM_PEER_AGE_MILLISECONDS)
    .map((peer): ListedNode => ({
      node: peer.node,
      address: peer.callerAddress,
      failureDomain: peer.failureDomain,
      leaving: peer.leaving,
      loadPermille: loads.get(peer.node) ?? 0,
    }));
  return [own, ...others];
}
