import { create } from "@bufbuild/protobuf";
import {
  type BackendServerFact,
  type Fact,
  type FactBatch,
  FactBatchSchema,
  type PackedBackendServerFact,
  PackedBackendServerFactSchema,
  type PackedFact,
  PackedFactSchema,
  type PackedRange,
  PackedRangeSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import { NameEncoder } from "./name_numbers.ts";
import type { OriginLog } from "./origin_log.ts";

/** Range of versions of an origin's log to send to a peer, up to the newest version of the log. */
export interface LogRange {
  readonly log: OriginLog;
  /** Version after which the range starts. */
  readonly from: number;
  /**
   * Time since the log last grew, in milliseconds; 0 when the age is negligible or the log has
   * expired.
   */
  readonly ageMilliseconds: number;
}

/**
 * Packs the facts that a node sends over one peer stream: replaces names by numbers and versions by differences. Facts
 * of no origin are sent unpacked.
 */
export class FactEncoder {
  readonly #names = new NameEncoder();
  /** Version up to which earlier batches contained each log, by the log's identity. */
  readonly #sentThroughByIdentity = new Map<string, number>();

  /**
   * Returns a batch with packed ranges of logs and with facts that belong to no origin. Batches must be sent in the
   * order in which they were encoded.
   */
  encode(
    ranges: ReadonlyArray<LogRange>,
    shared: ReadonlyArray<Fact>,
  ): FactBatch {
    const namesReset = this.#names.isFull;
    if (namesReset) this.#names.reset();
    const packed = ranges.map((range) => this.#packRange(range));
    return create(FactBatchSchema, {
      facts: [...shared],
      packed,
      newNames: this.#names.takeUnsent(),
      namesReset,
    });
  }

  #packRange({ log, from, ageMilliseconds }: LogRange): PackedRange {
    const { identity, through } = log;
    const sentThrough = this.#sentThroughByIdentity.get(identity) ?? 0;
    this.#sentThroughByIdentity.set(identity, through);
    return create(PackedRangeSchema, {
      origin: this.#names.numberOf(log.origin),
      originStart: this.#names.numberOf(log.start),
      fromChange: from - sentThrough,
      length: through - from,
      ended: log.isExpired,
      ageMilliseconds,
      facts: log.factsAfter(from).map((fact) => this.#packFact(fact, through)),
    });
  }

  #packFact(fact: Fact, through: number): PackedFact {
    return create(PackedFactSchema, {
      key: this.#names.numberOf(fact.key),
      versionsBack: through - Number(fact.version),
      value: this.#packValue(fact.value),
    });
  }

  #packValue(value: Fact["value"]): PackedFact["value"] {
    if (value.case !== "backendServer") return value as PackedFact["value"];
    return { case: "backendServer", value: this.#packServer(value.value) };
  }

  #packServer(fact: BackendServerFact): PackedBackendServerFact {
    return create(PackedBackendServerFactSchema, {
      service: this.#names.numberOf(fact.service),
      startIdentity: this.#names.numberOf(fact.startIdentity),
      failureDomain: this.#names.numberOf(fact.failureDomain),
      tier: this.#names.numberOf(fact.tier),
      running: fact.running,
      waiting: fact.waiting,
      cacheFreePermille: fact.cacheFreePermille,
      weightVersions: fact.weightVersions,
      leaving: fact.leaving,
      unreachable: !fact.reachable,
      dispatched: fact.dispatched,
      tokensPerSecond: fact.tokensPerSecond,
      microsPerHour: fact.microsPerHour,
    });
  }
}
