import { type Client, createClient } from "@connectrpc/connect";
import {
  type ConfirmWeightVersionRequest,
  type ConfirmWithdrawalRequest,
  type FetchSamplesRequest,
  type FetchSamplesResponse,
  PeerService,
  type StoreSamplesRequest,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { KeyFreshnessTracker } from "./key_freshness_tracker.ts";
import type { NodeDirectory } from "./node_directory.ts";
import { createPeerConnection } from "./peer_connection.ts";
import type {
  Peer,
  PeerConfirmations,
  PeerDirectory,
} from "./peer_directory.ts";
import type { Rendezvous } from "./rendezvous.ts";

const CALL_TIMEOUT_MILLISECONDS = 2000;
const MAXIMUM_CONCURRENT_CALLS = 32;

/** Options of a peer directory client. */
export interface PeerDirectoryClientOptions {
  readonly context: NodeContext;
  readonly nodes: NodeDirectory;
  readonly freshness: KeyFreshnessTracker;
  readonly rendezvous: Rendezvous;
}

type PeerClient = Client<typeof PeerService>;

/** Lists the live peers and sends requests to them, each call on a separate connection. */
export class PeerDirectoryClient implements PeerDirectory {
  readonly #options: PeerDirectoryClientOptions;

  /** @param options - Context of the node, its peers and their ranking. */
  constructor(options: PeerDirectoryClientOptions) {
    this.#options = options;
  }

  /** Returns the live peers. */
  peers(): ReadonlyArray<Peer> {
    return this.#options.nodes.peers();
  }

  /** Returns the peer that stores copies for a key, in another failure domain if possible. */
  chooseReplicaPeer(key: string): Peer | undefined {
    const { settings } = this.#options.context;
    const nonDraining = this.peers().filter(({ leaving }) => !leaving);
    const inOtherDomains = nonDraining.filter(({ failureDomain }) =>
      failureDomain !== settings.failureDomain
    );
    const candidates = inOtherDomains.length > 0 ? inOtherDomains : nonDraining;
    const [peer] = this.#options.rendezvous.choose(key, candidates, {
      count: 1,
      name: ({ node }) => node,
    });
    return peer;
  }

  /** Returns the age of this node's view of keys, in milliseconds. */
  keyAgeMilliseconds(): number {
    return this.#options.freshness.ageMilliseconds();
  }

  /** Requests that all live peers apply a key withdrawal. */
  confirmWithdrawal(
    request: ConfirmWithdrawalRequest,
  ): Promise<PeerConfirmations> {
    return this.#requestConfirmations(async (client, options) => {
      const response = await client.confirmWithdrawal(request, options);
      return response.streamsCut;
    });
  }

  /** Requests that all live peers adopt a weight version. */
  confirmWeightVersion(
    request: ConfirmWeightVersionRequest,
  ): Promise<PeerConfirmations> {
    return this.#requestConfirmations(async (client, options) => {
      await client.confirmWeightVersion(request, options);
      return 0;
    });
  }

  /** Stores copies of samples on a peer. */
  async storeSamples(
    peer: Peer,
    request: StoreSamplesRequest,
  ): Promise<boolean> {
    const response = await this.#call(
      peer,
      (client, options) => client.storeSamples(request, options),
    );
    return response !== undefined;
  }

  /** Fetches the finished samples of a step from a peer. */
  fetchSamples(
    peer: Peer,
    request: FetchSamplesRequest,
  ): Promise<FetchSamplesResponse | undefined> {
    return this.#call(
      peer,
      (client, options) => client.fetchSamples(request, options),
    );
  }

  async #requestConfirmations(
    send: (client: PeerClient, options: CallOptions) => Promise<number>,
  ): Promise<PeerConfirmations> {
    const queue = [...this.peers()];
    const confirmed: string[] = [];
    const silent: string[] = [];
    let streamsCut = 0;
    const sendToNext = async (): Promise<void> => {
      for (let peer = queue.pop(); peer; peer = queue.pop()) {
        const cut = await this.#call(peer, send);
        (cut === undefined ? silent : confirmed).push(peer.node);
        streamsCut += cut ?? 0;
      }
    };
    const concurrency = Math.min(MAXIMUM_CONCURRENT_CALLS, queue.length);
    await Promise.all(Array.from({ length: concurrency }, sendToNext));
    return { confirmed: confirmed.sort(), silent: silent.sort(), streamsCut };
  }

  async #call<Result>(
    peer: Peer,
    send: (client: PeerClient, options: CallOptions) => Promise<Result>,
  ): Promise<Result | undefined> {
    const { settings, stopping } = this.#options.context;
    const connection = createPeerConnection({
      address: peer.peerAddress,
      secret: settings.peerSecret,
    });
    const client = createClient(PeerService, connection.transport);
    try {
      return await send(client, {
        timeoutMs: CALL_TIMEOUT_MILLISECONDS,
        signal: stopping,
      });
    } catch {
      return undefined;
    } finally {
      connection.close();
    }
  }
}

interface CallOptions {
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}
