import { create } from "@bufbuild/protobuf";
import {
  BackendServerFactSchema,
  ConfigurationFactSchema,
  type FactBatch,
  FactBatchSchema,
  KeyWithdrawalFactSchema,
  NodeFactSchema,
  OriginRangeSchema,
  UsageFactSchema,
  WeightVersionFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import { DeclarationSchema } from "../../generated/snipepath/v1/declaration_pb.ts";
import {
  type ConfigurationRecord,
  ConfigurationRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import { digestDeclaration } from "../../source/declarations/digest_declaration.ts";
import { FactStore } from "../../source/membership/fact_store.ts";
import type { FactKind } from "../../source/membership/replicated_facts.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import type { Clock } from "../../source/utilities/clock.ts";

/** A publication or, for two kinds, a retraction of a fact; its key and value are derived from small integers. */
export interface Publication {
  readonly kind: FactKind;
  readonly key: number;
  readonly value: number;
}

/** A fact store with its event log. */
export interface StoreWithLog {
  readonly store: FactStore;
  readonly eventLog: RecordingEventLog;
}

/** Creates the fact store of a node. */
export function createStore(node: string, clock: Clock): StoreWithLog {
  const log = new RecordingEventLog();
  const nodeStart = `${node}-start`;
  return {
    store: new FactStore({ node, nodeStart, clock, log }),
    eventLog: log,
  };
}

/** Creates a configuration revision with a valid digest. */
export function createRevision(revision: number): ConfigurationRecord {
  const declaration = create(DeclarationSchema, {
    organisations: [{ name: `organisation-${revision}` }],
  });
  return create(ConfigurationRecordSchema, {
    revision: BigInt(revision),
    declaration,
    digest: digestDeclaration(declaration),
  });
}

/**
 * Publishes or retracts a fact.
 *
 * Two kinds that are not published here stand for retractions, so that a generated list of
 * publications has both: "step" retracts the fact of kind "node" with the key, and
 * "serviceReceived" the fact of kind "backendServer" with the key.
 */
export function applyPublication(
  store: FactStore,
  { kind, key, value }: Publication,
): void {
  PUBLISHERS[kind](store, `key-${key}`, value);
}

const PUBLISHERS: Readonly<
  Record<FactKind, (store: FactStore, key: string, value: number) => void>
> = {
  node: (store, key, value) =>
    store.publish("node", key, create(NodeFactSchema, { loadPermille: value })),
  backendServer: (store, key, value) =>
    store.publish(
      "backendServer",
      key,
      create(BackendServerFactSchema, {
        startIdentity: `start-${value % 3}`,
        leaving: value % 2 === 0,
        reachable: true,
      }),
    ),
  keyWithdrawal: (store, key, value) =>
    store.publish(
      "keyWithdrawal",
      key,
      create(KeyWithdrawalFactSchema, {
        withdrawnAtUnixMilliseconds: BigInt(value),
      }),
    ),
  configuration: (store, _key, value) =>
    store.publish(
      "configuration",
      "configuration",
      create(ConfigurationFactSchema, { record: createRevision(value + 1) }),
    ),
  weightVersion: (store, key, value) =>
    store.publish(
      "weightVersion",
      key,
      create(WeightVersionFactSchema, { newestVersion: BigInt(value) }),
    ),
  usage: (store, key, value) =>
    store.publish(
      "usage",
      key,
      create(UsageFactSchema, { figures: { requests: BigInt(value) } }),
    ),
  step: (store, key) => store.retract("node", key),
  serviceReceived: (store, key) => store.retract("backendServer", key),
};

/**
 * Creates the batch for a peer that holds the store's own facts up to version `from`: the later ones, and all
 * shared facts.
 */
export function createBatchAfter(store: FactStore, from: number): FactBatch {
  const [own] = store.logs();
  if (own === undefined) return create(FactBatchSchema);
  const ranges = own.through > from
    ? [
      create(OriginRangeSchema, {
        origin: own.origin,
        originStart: own.start,
        from: BigInt(from),
        through: BigInt(own.through),
      }),
    ]
    : [];
  const facts = [...store.sharedFacts(), ...own.factsAfter(from)];
  return create(FactBatchSchema, { facts, ranges });
}

/**
 * Returns the facts of the kinds that `applyPublication` publishes, one sorted line per fact, so that two stores
 * can be compared.
 */
export function listFacts(store: FactStore): ReadonlyArray<string> {
  const kinds: ReadonlyArray<FactKind> = [
    "node",
    "backendServer",
    "keyWithdrawal",
    "configuration",
    "weightVersion",
    "usage",
  ];
  return kinds.flatMap((kind) =>
    store.facts(kind).map(({ origin, key, value }) => {
      const isShared = kind === "keyWithdrawal" || kind === "configuration" ||
        kind === "weightVersion";
      const text = JSON.stringify(
        value,
        (_name, part) => typeof part === "bigint" ? String(part) : part,
      );
      return [kind, isShared ? "" : origin, key, text].join(" ");
    })
  ).sort();
}
