import { create } from "@bufbuild/protobuf";
import { FetchSamplesResponseSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type { PeerHandlers } from "../membership/peer_directory.ts";

const NOTHING_YET: PeerHandlers = {
  onWithdrawal: () => 0,
  onWeightVersion: () => {},
  onStoreSamples: () => {},
  onFetchSamples: () => create(FetchSamplesResponseSchema),
};

/**
 * Handlers of peers' calls that are connected after membership was created, because the parts
 * behind them need membership themselves. The peer server starts only after they are connected.
 */
export class LateHandlers {
  #connected = NOTHING_YET;

  /** Connects the parts that handle the calls. */
  connect(handlers: PeerHandlers): void {
    this.#connected = handlers;
  }

  /** The handlers to give to membership. */
  readonly handlers: PeerHandlers = {
    onWithdrawal: (request) => this.#connected.onWithdrawal(request),
    onWeightVersion: (request) => this.#connected.onWeightVersion(request),
    onStoreSamples: (request) => this.#connected.onStoreSamples(request),
    onFetchSamples: (request) => this.#connected.onFetchSamples(request),
  };
}
