import { createHash } from "node:crypto";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type StepCursor as StepCursorMessage,
  StepCursorSchema,
} from "../../generated/snipepath/v1/cursor_pb.ts";
import type { StepManifest } from "../../generated/snipepath/v1/records_pb.ts";
import { SampleBitmap } from "./sample_bitmap.ts";
import { countSamples } from "./step_plan.ts";

const CHECKSUM_BYTES = 8;
const MAXIMUM_CURSOR_CHARACTERS = 4096;
const BASE64URL_PATTERN = /^[A-Za-z0-9_-]+$/;

/** What a trainer says it holds of a step. */
export interface StepCursor {
  readonly held: SampleBitmap;
  /** Newest weight version known when the cursor was made; 0 for none. */
  readonly newestVersion: number;
}

/** Whether a cursor belongs to a step. */
export type CursorOutcome =
  | { readonly kind: "cursor"; readonly cursor: StepCursor }
  /** Not a cursor of this step at all. */
  | { readonly kind: "invalid"; readonly message: string }
  /** A cursor of an earlier submission of a step of the same name. */
  | { readonly kind: "otherEpoch"; readonly message: string };

/**
 * Creates the cursor of a trainer that holds nothing yet.
 * @param manifest - The step.
 * @example
 * ```ts
 * const text = encodeCursor(manifest, createFirstCursor(manifest));
 * ```
 */
export function createFirstCursor(manifest: StepManifest): StepCursor {
  return {
    held: SampleBitmap.empty(countSamples(manifest)),
    newestVersion: 0,
  };
}

/**
 * Writes a cursor as text for the trainer.
 * @param manifest - The step that the cursor belongs to.
 * @param cursor - What the trainer holds.
 * @example
 * ```ts
 * const text = encodeCursor(manifest, { held, newestVersion: 7 });
 * ```
 */
export function encodeCursor(
  manifest: StepManifest,
  cursor: StepCursor,
): string {
  const message = create(StepCursorSchema, {
    trainer: manifest.trainer,
    step: manifest.step,
    epoch: manifest.epoch,
    newestVersion: BigInt(cursor.newestVersion),
    held: cursor.held.toBytes(),
    wanted: cursor.held.size,
  });
  message.checksum = checksumOf(message);
  return Buffer.from(toBinary(StepCursorSchema, message)).toString("base64url");
}

/**
 * Reads a trainer's cursor and checks that it belongs to the step.
 * @param manifest - The step.
 * @param text - The cursor; empty for the first pull.
 * @returns The cursor, or why it is refused.
 * @example
 * ```ts
 * const outcome = decodeCursor(manifest, url.searchParams.get("cursor") ?? "");
 * ```
 */
export function decodeCursor(
  manifest: StepManifest,
  text: string,
): CursorOutcome {
  if (text === "") {
    return { kind: "cursor", cursor: createFirstCursor(manifest) };
  }
  const message = parseCursor(text);
  if (message === undefined) return invalid("The cursor is damaged");
  if (
    message.trainer !== manifest.trainer || message.step !== manifest.step
  ) {
    return invalid(
      `The cursor belongs to step ${message.step} of trainer ${message.trainer}`,
    );
  }
  if (message.epoch !== manifest.epoch) {
    return {
      kind: "otherEpoch",
      message: `The cursor belongs to epoch ${message.epoch} of the step`,
    };
  }
  const held = SampleBitmap.fromBytes(countSamples(manifest), message.held);
  if (held === undefined || message.wanted !== held.size) {
    return invalid("The cursor does not fit the number of samples");
  }
  const newestVersion = Number(message.newestVersion);
  if (!Number.isSafeInteger(newestVersion)) {
    return invalid("The cursor's weight version is out of range");
  }
  return { kind: "cursor", cursor: { held, newestVersion } };
}

function invalid(message: string): CursorOutcome {
  return { kind: "invalid", message };
}

function parseCursor(text: string): StepCursorMessage | undefined {
  if (text.length > MAXIMUM_CURSOR_CHARACTERS) return undefined;
  if (!BASE64URL_PATTERN.test(text)) return undefined;
  const bytes = Buffer.from(text, "base64url");
  if (bytes.toString("base64url") !== text) return undefined;
  const message = readMessage(bytes);
  if (message === undefined) return undefined;
  const isIntact = Buffer.from(message.checksum).equals(checksumOf(message));
  return isIntact ? message : undefined;
}

function readMessage(bytes: Uint8Array): StepCursorMessage | undefined {
  try {
    return fromBinary(StepCursorSchema, bytes, { readUnknownFields: false });
  } catch {
    return undefined;
  }
}

function checksumOf(message: StepCursorMessage): Uint8Array<ArrayBuffer> {
  const bare = create(StepCursorSchema, {
    ...message,
    checksum: new Uint8Array(),
  });
  const digest = createHash("sha256")
    .update(toBinary(StepCursorSchema, bare)).digest();
  return new Uint8Array(digest.subarray(0, CHECKSUM_BYTES));
}
