import type {
  ConfirmWeightVersionRequest,
  ConfirmWithdrawalRequest,
  FetchSamplesRequest,
  FetchSamplesResponse,
  StoreSamplesRequest,
} from "../../generated/snipepath/v1/peer_pb.ts";

/** A live node other than this one. */
export interface Peer {
  readonly node: string;
  readonly nodeStart: string;
  readonly failureDomain: string;
  /** HOST:PORT for peers and operators. */
  readonly peerAddress: string;
  /** HOST:PORT for callers. */
  readonly callerAddress: string;
  readonly leaving: boolean;
  readonly configurationRevision: number;
  /** Time since this node last heard of the peer, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Answers of peers that were asked directly; a peer that did not answer is silent. */
export interface PeerConfirmations {
  readonly confirmed: ReadonlyArray<string>;
  readonly silent: ReadonlyArray<string>;
  readonly streamsCut: number;
}

/** Knows the live peers and asks them directly. */
export interface PeerDirectory {
  /** Returns the live peers, leaving ones included. */
  peers(): ReadonlyArray<Peer>;
  /** Returns a peer in another failure domain that keeps copies for this node, chosen stably by a key. */
  copyHolder(key: string): Peer | undefined;
  /** Returns the time since the table or a peer with fresh word confirmed this node's view of keys, in milliseconds. */
  keyAgeMilliseconds(): number;
  /** Asks all live peers to apply a key withdrawal. */
  confirmWithdrawal(
    request: ConfirmWithdrawalRequest,
  ): Promise<PeerConfirmations>;
  /** Asks all live peers to go by a published weight version. */
  confirmWeightVersion(
    request: ConfirmWeightVersionRequest,
  ): Promise<PeerConfirmations>;
  /** Stores copies of samples at a peer; false when it did not confirm. */
  storeSamples(peer: Peer, request: StoreSamplesRequest): Promise<boolean>;
  /** Fetches the finished samples of a step from a peer; undefined when it did not answer. */
  fetchSamples(
    peer: Peer,
    request: FetchSamplesRequest,
  ): Promise<FetchSamplesResponse | undefined>;
}

/** What this node does when a peer asks it directly. */
export interface PeerHandlers {
  /** Applies a withdrawal and returns how many streams were cut. */
  readonly onWithdrawal: (request: ConfirmWithdrawalRequest) => number;
  /** Goes by a weight version. */
  readonly onWeightVersion: (request: ConfirmWeightVersionRequest) => void;
  /** Keeps copies of samples. */
  readonly onStoreSamples: (request: StoreSamplesRequest) => void;
  /** Returns held samples. */
  readonly onFetchSamples: (
    request: FetchSamplesRequest,
  ) => FetchSamplesResponse;
}
