import { create } from "@bufbuild/protobuf";
import { FetchSamplesResponseSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type { PeerHandlers } from "../membership/peer_directory.ts";

const NO_OP_HANDLERS: PeerHandlers = {
  onWithdrawal: () => 0,
  onWeightVersion: () => {},
  onStoreSamples: () => {},
  onFetchSamples: () => create(FetchSamplesResponseSchema),
};

/**
 * Forwards calls of peers to handlers that are connected after membership was created, because the
 * handling parts need membership themselves. The peer server starts after the handlers are
 * connected.
 */
export class DeferredPeerHandlers {
  #connected = NO_OP_HANDLERS;

  /** Connects the handlers of the calls. */
  connect(handlers: PeerHandlers): void {
    this.#connected = handlers;
  }

  /** Handlers to pass to membership. */
  readonly handlers: PeerHandlers = {
    onWithdrawal: (request) => this.#connected.onWithdrawal(request),
    onWeightVersion: (request) => this.#connected.onWeightVersion(request),
    onStoreSamples: (request) => this.#connected.onStoreSamples(request),
    onFetchSamples: (request) => this.#connected.onFetchSamples(request),
  };
}
