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
import type { KeyFreshness } from "./key_freshness.ts";
import type { NodeDirectory } from "./node_directory.ts";
import { createPeerConnection } from "./peer_connection.ts";
import type {
  Peer,
  PeerConfirmations,
  PeerDirectory,
} from "./peer_directory.ts";
import type { Rendezvous } from "./rendezvous.ts";

const CALL_TIMEOUT_MILLISECONDS = 2000;
const MAXIMUM_CALLS_AT_ONCE = 32;

/** What direct calls to peers need. */
export interface PeerDirectoryClientOptions {
  readonly context: NodeContext;
  readonly nodes: NodeDirectory;
  readonly freshness: KeyFreshness;
  readonly rendezvous: Rendezvous;
}

type PeerClient = Client<typeof PeerService>;

/** Knows the live peers and asks them directly, each call on a connection of its own. */
export class PeerDirectoryClient implements PeerDirectory {
  readonly #options: PeerDirectoryClientOptions;

  /** @param options - The node's view of its peers. */
  constructor(options: PeerDirectoryClientOptions) {
    this.#options = options;
  }

  /** Returns the live peers. */
  peers(): ReadonlyArray<Peer> {
    return this.#options.nodes.peers();
  }

  /** Returns the peer that keeps copies for a key, in another failure domain where there is one. */
  copyHolder(key: string): Peer | undefined {
    const { settings } = this.#options.context;
    const staying = this.peers().filter(({ leaving }) => !leaving);
    const elsewhere = staying.filter(({ failureDomain }) =>
      failureDomain !== settings.failureDomain
    );
    const candidates = elsewhere.length > 0 ? elsewhere : staying;
    const [holder] = this.#options.rendezvous.choose(key, candidates, {
      count: 1,
      name: ({ node }) => node,
    });
    return holder;
  }

  /** Returns the age of this node's view of keys, in milliseconds. */
  keyAgeMilliseconds(): number {
    return this.#options.freshness.ageMilliseconds();
  }

  /** Asks all live peers to apply a key withdrawal. */
  confirmWithdrawal(
    request: ConfirmWithdrawalRequest,
  ): Promise<PeerConfirmations> {
    return this.#confirm(async (client, options) => {
      const response = await client.confirmWithdrawal(request, options);
      return response.streamsCut;
    });
  }

  /** Asks all live peers to go by a weight version. */
  confirmWeightVersion(
    request: ConfirmWeightVersionRequest,
  ): Promise<PeerConfirmations> {
    return this.#confirm(async (client, options) => {
      await client.confirmWeightVersion(request, options);
      return 0;
    });
  }

  /** Stores copies of samples at a peer. */
  async storeSamples(
    peer: Peer,
    request: StoreSamplesRequest,
  ): Promise<boolean> {
    const answer = await this.#call(
      peer,
      (client, options) => client.storeSamples(request, options),
    );
    return answer !== undefined;
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

  async #confirm(
    ask: (client: PeerClient, options: CallOptions) => Promise<number>,
  ): Promise<PeerConfirmations> {
    const waiting = [...this.peers()];
    const confirmed: string[] = [];
    const silent: string[] = [];
    let streamsCut = 0;
    const askNext = async (): Promise<void> => {
      for (let peer = waiting.pop(); peer; peer = waiting.pop()) {
        const cut = await this.#call(peer, ask);
        (cut === undefined ? silent : confirmed).push(peer.node);
        streamsCut += cut ?? 0;
      }
    };
    const callers = Math.min(MAXIMUM_CALLS_AT_ONCE, waiting.length);
    await Promise.all(Array.from({ length: callers }, askNext));
    return { confirmed: confirmed.sort(), silent: silent.sort(), streamsCut };
  }

  async #call<Answer>(
    peer: Peer,
    ask: (client: PeerClient, options: CallOptions) => Promise<Answer>,
  ): Promise<Answer | undefined> {
    const { settings, stopping } = this.#options.context;
    const connection = createPeerConnection({
      address: peer.peerAddress,
      secret: settings.peerSecret,
    });
    const client = createClient(PeerService, connection.transport);
    try {
      return await ask(client, {
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
