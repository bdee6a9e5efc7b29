import { create } from "@bufbuild/protobuf";
import {
  ConfirmWithdrawalRequestSchema,
  KeyWithdrawalFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import { KeyRecordSchema } from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { ToldState } from "../membership/told_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { KeyDirectory } from "./key_directory.ts";
import { generateKey, isKeyIdentifier } from "./key_format.ts";
import { KeyTable } from "./key_table.ts";
import { within } from "../utilities/within.ts";

const MAXIMUM_ATTEMPTS = 5;
const RETRY_INTERVAL_MILLISECONDS = 1000;
const LOOKUP_WAIT_MILLISECONDS = 500;
const SAVE_WAIT_MILLISECONDS = 2000;
const OTHER_NODES_DELAY_MILLISECONDS = 5000;

/** What the key authority works with. */
export interface KeyAuthorityOptions {
  readonly context: NodeContext;
  readonly directory: KeyDirectory;
  readonly peers: Pick<PeerDirectory, "confirmWithdrawal">;
  readonly told: ToldState;
}

/** For whom a key is given. */
export interface KeyGrant {
  /** Name of the organisation; the caller has checked that it is declared. */
  readonly organisation: string;
  readonly trainer: boolean;
}

/** Whether a key was given. */
export type GiveOutcome =
  | {
    readonly kind: "given";
    /** The whole key, shown this once. */
    readonly key: string;
    readonly keyIdentifier: string;
  }
  | {
    readonly kind: "unavailable";
    readonly reason: string;
    /** Whether a key that nobody holds may have been stored. */
    readonly unknown: boolean;
  };

/** Whether a key was withdrawn. */
export type WithdrawOutcome =
  | {
    readonly kind: "withdrawn";
    readonly confirmedNodes: ReadonlyArray<string>;
    readonly silentNodes: ReadonlyArray<string>;
    /** Whether the table holds the withdrawal; if not, nodes keep trying to save it. */
    readonly saved: boolean;
    readonly streamsCut: number;
  }
  /** The table has no such key, or the text is no key's identifier. */
  | { readonly kind: "unknownKey" };

type SaveOutcome = PlatformOutcome<"saved" | "absent">;

/**
 * Gives and withdraws keys for operators.
 * @example
 * ```ts
 * const outcome = await authority.withdraw(identifier);
 * ```
 */
export class KeyAuthority {
  readonly #context: NodeContext;
  readonly #directory: KeyDirectory;
  readonly #peers: Pick<PeerDirectory, "confirmWithdrawal">;
  readonly #told: ToldState;
  readonly #table: KeyTable;
  readonly #own = new Set<string>();

  /** @param options - The node, its keys and its peers. */
  constructor(options: KeyAuthorityOptions) {
    this.#context = options.context;
    this.#directory = options.directory;
    this.#peers = options.peers;
    this.#told = options.told;
    this.#table = new KeyTable(options.context.platform.table);
  }

  /**
   * Gives a new key to an organisation.
   * @param grant - For whom.
   * @returns The whole key once, or that the table could not store it.
   */
  async give(grant: KeyGrant): Promise<GiveOutcome> {
    const generated = generateKey();
    const record = create(KeyRecordSchema, {
      keyIdentifier: generated.identifier,
      secretDigest: generated.secretDigest,
      organisation: grant.organisation,
      trainer: grant.trainer,
    });
    let reason = "Other operators kept changing keys";
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const result = await this.#table.write(record, 0);
      const isWritten = result.kind === "ok"
        ? result.value === "written"
        : await this.#hasRecord(generated.identifier, result.kind);
      if (isWritten) {
        this.#context.log.emit("keyGiven", {
          key: generated.identifier,
          organisation: grant.organisation,
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
   * Withdraws a key: cuts its running exchanges here and at all peers, and writes it to the table.
   * @param identifier - The key's identifier, not the key.
   * @returns Which nodes confirmed, or that there is no such key.
   */
  async withdraw(identifier: string): Promise<WithdrawOutcome> {
    if (!isKeyIdentifier(identifier)) return { kind: "unknownKey" };
    if (await this.#isUnknown(identifier)) return { kind: "unknownKey" };
    const withdrawnAt = BigInt(Math.round(this.#context.clock.wall()));
    const cutHere = this.#directory.applyWithdrawal(identifier);
    this.#own.add(identifier);
    this.#told.tell(
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
      within(this.#save(identifier), {
        clock: this.#context.clock,
        milliseconds: SAVE_WAIT_MILLISECONDS,
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
      streamsCut: cutHere + confirmations.streamsCut,
    };
  }

  /** Saves withdrawals that were told while the table was away, until the node stops. */
  async run(): Promise<void> {
    const { clock, random, stopping } = this.#context;
    while (!stopping.aborted) {
      await this.saveDue();
      const wait = RETRY_INTERVAL_MILLISECONDS * (0.5 + random.next());
      await clock.sleep(wait, stopping);
    }
  }

  /** Tries once to save the withdrawals that are due: the own ones at once, those of other nodes later. */
  async saveDue(): Promise<void> {
    const { clock, random } = this.#context;
    for (const [identifier, heardAt] of this.#directory.unsavedWithdrawals()) {
      const age = clock.monotonic() - heardAt;
      const delay = OTHER_NODES_DELAY_MILLISECONDS * (1 + random.next());
      if (!this.#own.has(identifier) && age < delay) continue;
      const outcome = await this.#save(identifier);
      if (outcome.kind !== "ok") return;
    }
  }

  // A slow table must not hold the withdrawal back: then it is told without knowing.
  async #isUnknown(identifier: string): Promise<boolean> {
    const read = this.#table.read(identifier);
    const known = await within(read, {
      clock: this.#context.clock,
      milliseconds: LOOKUP_WAIT_MILLISECONDS,
    });
    return known?.kind === "ok" && known.value === undefined;
  }

  async #save(identifier: string): Promise<SaveOutcome> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const outcome = await this.#trySave(identifier);
      if (outcome === "conflict") continue;
      if (outcome.kind === "ok") this.#noteSaved(identifier, outcome.value);
      return outcome;
    }
    return { kind: "notRun", reason: "Other operators kept changing keys" };
  }

  async #trySave(identifier: string): Promise<SaveOutcome | "conflict"> {
    const current = await this.#table.read(identifier);
    if (current.kind !== "ok") return current;
    if (current.value === undefined) return { kind: "ok", value: "absent" };
    const { record, version } = current.value;
    if (record.withdrawn) return { kind: "ok", value: "saved" };
    const written = await this.#table.write(
      { ...record, withdrawn: true },
      version,
    );
    // Whether a write of unknown outcome took effect is read in the next attempt.
    if (written.kind === "unknown") return "conflict";
    if (written.kind !== "ok") return written;
    if (written.value === "conflict") return "conflict";
    return { kind: "ok", value: "saved" };
  }

  #noteSaved(identifier: string, result: "saved" | "absent"): void {
    this.#own.delete(identifier);
    this.#directory.noteSaved(identifier);
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
