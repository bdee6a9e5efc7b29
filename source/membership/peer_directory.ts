import type {
  ConfirmWeightVersionRequest,
  ConfirmWithdrawalRequest,
  FetchSamplesRequest,
  FetchSamplesResponse,
  StoreSamplesRequest,
} from "../../generated/snipepath/v1/peer_pb.ts";

/** Live node other than this one. */
export interface Peer {
  readonly node: string;
  /** Start identity of the node's process; empty when only the instance list contains the node. */
  readonly nodeStart: string;
  readonly failureDomain: string;
  /** HOST:PORT for peers and operators. */
  readonly peerAddress: string;
  /** HOST:PORT for callers. */
  readonly callerAddress: string;
  /** Whether the node is draining. */
  readonly leaving: boolean;
  readonly configurationRevision: number;
  /**
   * Time since this node last received a fact or heartbeat of the peer, in milliseconds; for a peer
   * that only the instance list contains, time since the list was read.
   */
  readonly ageMilliseconds: number;
}

/** Results of a request to all live peers; `silent` contains the peers that did not confirm. */
export interface PeerConfirmations {
  readonly confirmed: ReadonlyArray<string>;
  readonly silent: ReadonlyArray<string>;
  /** Number of response streams that the peers cut. */
  readonly streamsCut: number;
}

/** Lists the live peers and sends requests to them. */
export interface PeerDirectory {
  /** Returns the live peers, draining ones included. */
  peers(): ReadonlyArray<Peer>;
  /** Returns the peer that stores copies for this node, chosen by a key and in another failure domain if possible. */
  chooseReplicaPeer(key: string): Peer | undefined;
  /** Returns the time since the table, directly or through peers, confirmed the view of keys, in milliseconds. */
  keyAgeMilliseconds(): number;
  /** Requests that all live peers apply a key withdrawal. */
  confirmWithdrawal(
    request: ConfirmWithdrawalRequest,
  ): Promise<PeerConfirmations>;
  /** Requests that all live peers adopt a published weight version. */
  confirmWeightVersion(
    request: ConfirmWeightVersionRequest,
  ): Promise<PeerConfirmations>;
  /** Stores copies of samples on a peer; returns false when the peer did not confirm. */
  storeSamples(peer: Peer, request: StoreSamplesRequest): Promise<boolean>;
  /** Fetches the finished samples of a step from a peer; returns undefined when the peer did not respond. */
  fetchSamples(
    peer: Peer,
    request: FetchSamplesRequest,
  ): Promise<FetchSamplesResponse | undefined>;
}

/** Handlers of the requests that peers send to this node. */
export interface PeerHandlers {
  /** Applies a key withdrawal and returns the number of response streams that were cut. */
  readonly onWithdrawal: (request: ConfirmWithdrawalRequest) => number;
  /** Adopts a weight version. */
  readonly onWeightVersion: (request: ConfirmWeightVersionRequest) => void;
  /** Stores copies of samples. */
  readonly onStoreSamples: (request: StoreSamplesRequest) => void;
  /** Returns the stored samples of a step. */
  readonly onFetchSamples: (
    request: FetchSamplesRequest,
  ) => FetchSamplesResponse;
}
