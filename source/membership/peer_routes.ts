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
import { CLOSE_CONNECTION } from "./peer_server.ts";
import type { PeerStreams } from "./peer_streams.ts";

const MAXIMUM_CACHED_WITHDRAWALS = 1000;
const CACHED_WITHDRAWAL_LIFETIME_MILLISECONDS = 60_000;

/** Options of the service for peers. */
export interface PeerRoutesOptions {
  readonly store: FactStore;
  readonly streams: PeerStreams;
  readonly handlers: PeerHandlers;
}

/**
 * Creates the service that peers call. Withdrawals and weight versions that arrive as facts go to
 * the same handlers as those that arrive as requests.
 * @param options - State and handlers of the node.
 * @returns A function that adds the service to the router of a server.
 */
export function createPeerRoutes(
  options: PeerRoutesOptions,
): (router: ConnectRouter) => void {
  const { store, streams, handlers } = options;
  const withdrawals = new WithdrawalApplier(handlers);
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
          closeConnection: context.values.get(CLOSE_CONNECTION),
        }),
      confirmWithdrawal: (request) => {
        const { keyIdentifier, withdrawnAtUnixMilliseconds } = request;
        store.publish("keyWithdrawal", keyIdentifier, {
          $typeName: "snipepath.v1.KeyWithdrawalFact",
          withdrawnAtUnixMilliseconds,
        });
        const streamsCut = withdrawals.apply(request);
        return create(ConfirmWithdrawalResponseSchema, { streamsCut });
      },
      confirmWeightVersion: (request) => {
        store.publish(
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

/** Applies key withdrawals from facts and from direct requests, and caches how many streams each of them cut. */
class WithdrawalApplier {
  readonly #handlers: PeerHandlers;
  readonly #streamsCutByKey = new LRUCache<string, number>({
    max: MAXIMUM_CACHED_WITHDRAWALS,
    ttl: CACHED_WITHDRAWAL_LIFETIME_MILLISECONDS,
  });

  constructor(handlers: PeerHandlers) {
    this.#handlers = handlers;
  }

  /**
   * Applies a withdrawal; returns the number of streams cut for the key so far, while the key is in
   * the cache.
   */
  apply(request: ConfirmWithdrawalRequest): number {
    const cutBefore = this.#streamsCutByKey.get(request.keyIdentifier) ?? 0;
    const streamsCut = cutBefore + this.#handlers.onWithdrawal(request);
    this.#streamsCutByKey.set(request.keyIdentifier, streamsCut);
    return streamsCut;
  }
}
