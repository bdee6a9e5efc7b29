import { create } from "@bufbuild/protobuf";
import {
  type BackendServerFact,
  BackendServerFactSchema,
  type Fact,
  type FactBatch,
  FactBatchSchema,
  FactSchema,
  type OriginRange,
  OriginRangeSchema,
  type PackedBackendServerFact,
  type PackedFact,
  type PackedRange,
} from "../../generated/snipepath/v1/peer_pb.ts";
import { NameDecoder } from "./name_numbers.ts";
import { originIdentity } from "./origin_log.ts";

/**
 * Number of logs for which the decoder stores received versions; a further log clears the versions.
 */
const MAXIMUM_ORIGINS = 4096;

/** Unpacks the facts that a node receives over one peer stream. */
export class FactDecoder {
  readonly #names = new NameDecoder();
  /** Version up to which earlier batches contained each log, by the log's identity. */
  readonly #receivedThroughByIdentity = new Map<string, number>();

  /**
   * Returns a batch with unpacked ranges and facts; omits a range and all its facts if the range or
   * a fact can't be unpacked. Batches must be decoded in the order in which they were sent.
   */
  decode(batch: FactBatch): FactBatch {
    if (batch.namesReset) this.#names.reset();
    this.#names.add(batch.newNames);
    const facts = [...batch.facts];
    const ranges = [...batch.ranges];
    for (const packed of batch.packed) {
      const range = this.#unpackRange(packed);
      if (range === undefined) continue;
      const unpacked = packed.facts.map((fact) =>
        this.#unpackFact(fact, range)
      );
      if (!unpacked.every((fact) => fact !== undefined)) continue;
      ranges.push(range);
      facts.push(...unpacked);
    }
    return create(FactBatchSchema, { facts, ranges });
  }

  #unpackRange(packed: PackedRange): OriginRange | undefined {
    const origin = this.#names.nameOf(packed.origin);
    const originStart = this.#names.nameOf(packed.originStart);
    if (origin === undefined || originStart === undefined) return undefined;
    const identity = originIdentity(origin, originStart);
    const from = (this.#receivedThroughByIdentity.get(identity) ?? 0) +
      packed.fromChange;
    const through = from + packed.length;
    if (from < 0) return undefined;
    const isNew = !this.#receivedThroughByIdentity.has(identity);
    if (isNew && this.#receivedThroughByIdentity.size >= MAXIMUM_ORIGINS) {
      this.#receivedThroughByIdentity.clear();
    }
    this.#receivedThroughByIdentity.set(identity, through);
    return create(OriginRangeSchema, {
      origin,
      originStart,
      from: BigInt(from),
      through: BigInt(through),
      ageMilliseconds: packed.ageMilliseconds,
      ended: packed.ended,
    });
  }

  #unpackFact(packed: PackedFact, range: OriginRange): Fact | undefined {
    const key = this.#names.nameOf(packed.key);
    const value = this.#unpackValue(packed.value);
    if (key === undefined || value === undefined) return undefined;
    return create(FactSchema, {
      origin: range.origin,
      originStart: range.originStart,
      version: range.through - BigInt(packed.versionsBack),
      key,
      value,
    });
  }

  #unpackValue(value: PackedFact["value"]): Fact["value"] | undefined {
    if (value.case !== "backendServer") return value;
    const server = this.#unpackServer(value.value);
    if (server === undefined) return undefined;
    return { case: "backendServer", value: server };
  }

  #unpackServer(
    packed: PackedBackendServerFact,
  ): BackendServerFact | undefined {
    const service = this.#names.nameOf(packed.service);
    const startIdentity = this.#names.nameOf(packed.startIdentity);
    const failureDomain = this.#names.nameOf(packed.failureDomain);
    const tier = this.#names.nameOf(packed.tier);
    if (
      service === undefined || startIdentity === undefined ||
      failureDomain === undefined || tier === undefined
    ) return undefined;
    return create(BackendServerFactSchema, {
      service,
      startIdentity,
      failureDomain,
      tier,
      running: packed.running,
      waiting: packed.waiting,
      cacheFreePermille: packed.cacheFreePermille,
      weightVersions: packed.weightVersions,
      leaving: packed.leaving,
      reachable: !packed.unreachable,
      dispatched: packed.dispatched,
      tokensPerSecond: packed.tokensPerSecond,
      microsPerHour: packed.microsPerHour,
    });
  }
}
