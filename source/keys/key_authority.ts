import { create } from "@bufbuild/protobuf";
import {
  ConfirmWithdrawalRequestSchema,
  KeyWithdrawalFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import { KeyRecordSchema } from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { KeyDirectory } from "./key_directory.ts";
import { generateKey, isKeyIdentifier } from "./key_format.ts";
import { KeyTable } from "./key_table.ts";
import { withTimeout } from "../utilities/with_timeout.ts";

const MAXIMUM_ATTEMPTS = 5;
const RETRY_INTERVAL_MILLISECONDS = 1000;
const LOOKUP_TIMEOUT_MILLISECONDS = 500;
const SAVE_TIMEOUT_MILLISECONDS = 2000;
const PEER_WITHDRAWAL_SAVE_DELAY_MILLISECONDS = 5000;

/** Components of the node that the key authority uses. */
export interface KeyAuthorityOptions {
  readonly context: NodeContext;
  readonly directory: KeyDirectory;
  readonly peers: Pick<PeerDirectory, "confirmWithdrawal">;
  readonly replicatedFacts: ReplicatedFacts;
}

/** The owner of a key to issue. */
export interface KeyOwner {
  /** Name of an organisation that the caller has found in the declaration. */
  readonly organisation: string;
  readonly trainer: boolean;
}

/** The result of issuing a key. */
export type IssueOutcome =
  | {
    readonly kind: "given";
    /** The whole key, which can be read only here because the table stores a digest of it. */
    readonly key: string;
    readonly keyIdentifier: string;
  }
  | {
    readonly kind: "unavailable";
    readonly reason: string;
    /** Whether the table may have stored a key that was returned to nobody. */
    readonly unknown: boolean;
  };

/** The result of withdrawing a key. */
export type WithdrawOutcome =
  | {
    readonly kind: "withdrawn";
    readonly confirmedNodes: ReadonlyArray<string>;
    readonly silentNodes: ReadonlyArray<string>;
    /**
     * Whether the table is known to have recorded the withdrawal or to have no such key; if not,
     * the nodes retry the write.
     */
    readonly saved: boolean;
    readonly streamsCut: number;
  }
  /** The table has no such key, or the text does not have the form of a key's identifier. */
  | { readonly kind: "unknownKey" };

type SaveOutcome = PlatformOutcome<"saved" | "absent">;

/**
 * Issues and withdraws keys on behalf of operators.
 * @example
 * ```ts
 * const outcome = await authority.withdraw(identifier);
 * ```
 */
export class KeyAuthority {
  readonly #context: NodeContext;
  readonly #directory: KeyDirectory;
  readonly #peers: Pick<PeerDirectory, "confirmWithdrawal">;
  readonly #replicatedFacts: ReplicatedFacts;
  readonly #table: KeyTable;
  /** Identifiers of the keys withdrawn through this node whose withdrawal is not saved yet. */
  readonly #localWithdrawals = new Set<string>();

  /** @param options - Components of the node. */
  constructor(options: KeyAuthorityOptions) {
    this.#context = options.context;
    this.#directory = options.directory;
    this.#peers = options.peers;
    this.#replicatedFacts = options.replicatedFacts;
    this.#table = new KeyTable(options.context.platform.table);
  }

  /**
   * Generates a key for an organisation and stores its digest in the table.
   * @param owner - The owner of the key.
   * @returns The whole key, or why the table did not confirm the write.
   */
  async issue(owner: KeyOwner): Promise<IssueOutcome> {
    const generated = generateKey();
    const record = create(KeyRecordSchema, {
      keyIdentifier: generated.identifier,
      secretDigest: generated.secretDigest,
      organisation: owner.organisation,
      trainer: owner.trainer,
    });
    let reason = "Concurrent changes of keys caused too many conflicts";
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const result = await this.#table.write(record, 0);
      const isWritten = result.kind === "ok"
        ? result.value === "written"
        : await this.#hasRecord(generated.identifier, result.kind);
      if (isWritten) {
        this.#context.log.emit("keyGiven", {
          key: generated.identifier,
          organisation: owner.organisation,
        });
        return {
          kind: "given",
          key: generated.key,
          keyIdentifier: generated.identifier,
        };
      }
      if (result.kind === "ok") continue;
      reason = result.reason;
      const unknown = result.kind === "unknown";
      return { kind: "unavailable", reason, unknown };
    }
    return { kind: "unavailable", reason, unknown: false };
  }

  /**
   * Withdraws a key: aborts the key's running exchanges on this node and on all peers, and writes
   * the withdrawal to the table.
   * @param identifier - The key's identifier, without its secret.
   * @returns Which nodes confirmed the withdrawal, or that there is no such key.
   */
  async withdraw(identifier: string): Promise<WithdrawOutcome> {
    if (!isKeyIdentifier(identifier)) return { kind: "unknownKey" };
    if (await this.#isUnknown(identifier)) return { kind: "unknownKey" };
    const withdrawnAt = BigInt(Math.round(this.#context.clock.wall()));
    const abortedHere = this.#directory.applyWithdrawal(identifier);
    this.#localWithdrawals.add(identifier);
    this.#replicatedFacts.publish(
      "keyWithdrawal",
      identifier,
      create(KeyWithdrawalFactSchema, {
        withdrawnAtUnixMilliseconds: withdrawnAt,
      }),
    );
    const request = create(ConfirmWithdrawalRequestSchema, {
      keyIdentifier: identifier,
      withdrawnAtUnixMilliseconds: withdrawnAt,
    });
    const [confirmations, save] = await Promise.all([
      this.#peers.confirmWithdrawal(request),
      withTimeout(this.#saveWithdrawal(identifier), {
        clock: this.#context.clock,
        milliseconds: SAVE_TIMEOUT_MILLISECONDS,
      }),
    ]);
    return {
      kind: "withdrawn",
      confirmedNodes: [
        this.#context.settings.node,
        ...confirmations.confirmed,
      ],
      silentNodes: confirmations.silent,
      saved: save?.kind === "ok",
      streamsCut: abortedHere + confirmations.streamsCut,
    };
  }

  /**
   * Until the node stops, writes to the table at intervals the withdrawals that it has not
   * recorded.
   */
  async run(): Promise<void> {
    const { clock, random, stopping } = this.#context;
    while (!stopping.aborted) {
      await this.saveDueWithdrawals();
      const wait = RETRY_INTERVAL_MILLISECONDS * (0.5 + random.next());
      await clock.sleep(wait, stopping);
    }
  }

  /**
   * Tries once to write all due withdrawals to the table, up to the first failure. Withdrawals
   * that an operator sent to this node are due at once; all others are due after a delay, so that
   * the node to which an operator sent them writes them unless its write fails.
   */
  async saveDueWithdrawals(): Promise<void> {
    const { clock, random } = this.#context;
    for (
      const [identifier, receivedAt] of this.#directory.unsavedWithdrawals()
    ) {
      const age = clock.monotonic() - receivedAt;
      const delay = PEER_WITHDRAWAL_SAVE_DELAY_MILLISECONDS *
        (1 + random.next());
      if (!this.#localWithdrawals.has(identifier) && age < delay) continue;
      const outcome = await this.#saveWithdrawal(identifier);
      if (outcome.kind !== "ok") return;
    }
  }

  // A slow table must not delay a withdrawal: after the time limit or a failed read, the key counts
  // as existing.
  async #isUnknown(identifier: string): Promise<boolean> {
    const read = this.#table.read(identifier);
    const known = await withTimeout(read, {
      clock: this.#context.clock,
      milliseconds: LOOKUP_TIMEOUT_MILLISECONDS,
    });
    return known?.kind === "ok" && known.value === undefined;
  }

  async #saveWithdrawal(identifier: string): Promise<SaveOutcome> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const outcome = await this.#trySaveWithdrawal(identifier);
      if (outcome === "conflict") continue;
      if (outcome.kind === "ok") this.#recordSaved(identifier, outcome.value);
      return outcome;
    }
    return {
      kind: "notRun",
      reason: "Concurrent changes of keys caused too many conflicts",
    };
  }

  async #trySaveWithdrawal(
    identifier: string,
  ): Promise<SaveOutcome | "conflict"> {
    const current = await this.#table.read(identifier);
    if (current.kind !== "ok") return current;
    if (current.value === undefined) return { kind: "ok", value: "absent" };
    const { record, version } = current.value;
    if (record.withdrawn) return { kind: "ok", value: "saved" };
    const written = await this.#table.write(
      { ...record, withdrawn: true },
      version,
    );
    // The next attempt reads whether a write with an unknown outcome took effect.
    if (written.kind === "unknown") return "conflict";
    if (written.kind !== "ok") return written;
    if (written.value === "conflict") return "conflict";
    return { kind: "ok", value: "saved" };
  }

  #recordSaved(identifier: string, result: "saved" | "absent"): void {
    this.#localWithdrawals.delete(identifier);
    this.#directory.markSaved(identifier);
    const event = result === "saved"
      ? "keyWithdrawalSaved"
      : "keyWithdrawalAbsent";
    this.#context.log.emit(event, { key: identifier });
  }

  async #hasRecord(
    identifier: string,
    failure: "notRun" | "unknown",
  ): Promise<boolean> {
    if (failure === "notRun") return false;
    const row = await this.#table.read(identifier);
    return row.kind === "ok" && row.value !== undefined;
  }
}
