import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { LRUCache } from "lru-cache";
import {
  ConfirmWeightVersionResponseSchema,
  type ConfirmWithdrawalRequest,
  ConfirmWithdrawalResponseSchema,
  PeerService,
  StoreSamplesResponseSchema,
  WeightVersionFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { FactStore } from "./fact_store.ts";
import type { PeerHandlers } from "./peer_directory.ts";
import { CUT_CONNECTION } from "./peer_server.ts";
import type { PeerStreams } from "./peer_streams.ts";

const REMEMBERED_WITHDRAWALS = 1000;
const REMEMBERED_MILLISECONDS = 60_000;

/** What answering peers needs. */
export interface PeerRoutesOptions {
  readonly store: FactStore;
  readonly streams: PeerStreams;
  readonly handlers: PeerHandlers;
}

/**
 * Creates the service that peers call, and applies told withdrawals and weight versions through the same handlers.
 * @param options - State and handlers of the node.
 * @returns What adds the service to a server's router.
 */
export function createPeerRoutes(
  options: PeerRoutesOptions,
): (router: ConnectRouter) => void {
  const { store, streams, handlers } = options;
  const withdrawals = new AppliedWithdrawals(handlers);
  store.watch("keyWithdrawal", ({ key, value }) => {
    withdrawals.apply({
      $typeName: "snipepath.v1.ConfirmWithdrawalRequest",
      keyIdentifier: key,
      withdrawnAtUnixMilliseconds: value.withdrawnAtUnixMilliseconds,
    });
  });
  store.watch("weightVersion", ({ key, value }) => {
    handlers.onWeightVersion({
      $typeName: "snipepath.v1.ConfirmWeightVersionRequest",
      trainer: key,
      service: value.service,
      version: value.newestVersion,
      location: value.location,
    });
  });
  return (router) =>
    router.service(PeerService, {
      exchange: (requests, context) =>
        streams.accept(requests, {
          address: context.requestHeader.get("x-forwarded-for") ?? "",
          cutConnection: context.values.get(CUT_CONNECTION),
        }),
      confirmWithdrawal: (request) => {
        const { keyIdentifier, withdrawnAtUnixMilliseconds } = request;
        store.tell("keyWithdrawal", keyIdentifier, {
          $typeName: "snipepath.v1.KeyWithdrawalFact",
          withdrawnAtUnixMilliseconds,
        });
        const streamsCut = withdrawals.apply(request);
        return create(ConfirmWithdrawalResponseSchema, { streamsCut });
      },
      confirmWeightVersion: (request) => {
        store.tell(
          "weightVersion",
          request.trainer,
          create(WeightVersionFactSchema, {
            newestVersion: request.version,
            location: request.location,
            service: request.service,
          }),
        );
        return create(ConfirmWeightVersionResponseSchema);
      },
      storeSamples: (request) => {
        handlers.onStoreSamples(request);
        return create(StoreSamplesResponseSchema);
      },
      fetchSamples: (request) => handlers.onFetchSamples(request),
    });
}

/** Applies withdrawals and remembers how many streams each cut, whether it was told or asked for directly. */
class AppliedWithdrawals {
  readonly #handlers: PeerHandlers;
  readonly #cut = new LRUCache<string, number>({
    max: REMEMBERED_WITHDRAWALS,
    ttl: REMEMBERED_MILLISECONDS,
  });

  constructor(handlers: PeerHandlers) {
    this.#handlers = handlers;
  }

  /** Applies a withdrawal; returns the streams cut for its key of late. */
  apply(request: ConfirmWithdrawalRequest): number {
    const before = this.#cut.get(request.keyIdentifier) ?? 0;
    const cut = before + this.#handlers.onWithdrawal(request);
    this.#cut.set(request.keyIdentifier, cut);
    return cut;
  }
}
