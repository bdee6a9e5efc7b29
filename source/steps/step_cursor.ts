import { createHash } from "node:crypto";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type StepCursor as StepCursorMessage,
  StepCursorSchema,
} from "../../generated/snipepath/v1/cursor_pb.ts";
import type { StepManifest } from "../../generated/snipepath/v1/records_pb.ts";
import { SampleBitmap } from "./sample_bitmap.ts";
import { countSamples } from "./step_plan.ts";

/** Number of bytes of the SHA-256 digest that a cursor keeps as its checksum. */
const CHECKSUM_BYTES = 8;
/** Maximum length of a cursor that is decoded. */
const MAXIMUM_CURSOR_CHARACTERS = 4096;
const BASE64URL_PATTERN = /^[A-Za-z0-9_-]+$/;

/** Samples of a step that a trainer holds, as its cursor states. */
export interface StepCursor {
  readonly held: SampleBitmap;
  /** Newest weight version that was known when the cursor was created; 0 for none. */
  readonly newestVersion: number;
}

/** Outcome of decoding a cursor for a step. */
export type CursorOutcome =
  | { readonly kind: "cursor"; readonly cursor: StepCursor }
  /** The text is not a valid cursor of this step. */
  | { readonly kind: "invalid"; readonly message: string }
  /** The cursor belongs to another submission of a step with the same name. */
  | { readonly kind: "otherEpoch"; readonly message: string };

/**
 * Creates the cursor of a trainer that holds no samples yet.
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
 * Encodes a cursor as text for the trainer.
 * @param manifest - The step that the cursor belongs to.
 * @param cursor - Samples that the trainer holds, and the newest weight version.
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
  message.checksum = computeChecksum(message);
  return Buffer.from(toBinary(StepCursorSchema, message)).toString("base64url");
}

/**
 * Decodes a trainer's cursor and checks that it belongs to the step.
 * @param manifest - The step.
 * @param text - The cursor; empty for the first pull.
 * @returns The cursor, or why it was refused.
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
  if (message === undefined) {
    return createInvalidOutcome(
      "The cursor is damaged",
    );
  }
  if (
    message.trainer !== manifest.trainer || message.step !== manifest.step
  ) {
    return createInvalidOutcome(
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
    return createInvalidOutcome(
      "The cursor does not match the number of samples of the step",
    );
  }
  const newestVersion = Number(message.newestVersion);
  if (!Number.isSafeInteger(newestVersion)) {
    return createInvalidOutcome("The cursor's weight version is out of range");
  }
  return { kind: "cursor", cursor: { held, newestVersion } };
}

function createInvalidOutcome(message: string): CursorOutcome {
  return { kind: "invalid", message };
}

function parseCursor(text: string): StepCursorMessage | undefined {
  if (text.length > MAXIMUM_CURSOR_CHARACTERS) return undefined;
  if (!BASE64URL_PATTERN.test(text)) return undefined;
  const bytes = Buffer.from(text, "base64url");
  if (bytes.toString("base64url") !== text) return undefined;
  const message = readMessage(bytes);
  if (message === undefined) return undefined;
  const isIntact = Buffer.from(message.checksum).equals(
    computeChecksum(message),
  );
  return isIntact ? message : undefined;
}

function readMessage(bytes: Uint8Array): StepCursorMessage | undefined {
  try {
    return fromBinary(StepCursorSchema, bytes, { readUnknownFields: false });
  } catch {
    return undefined;
  }
}

function computeChecksum(message: StepCursorMessage): Uint8Array<ArrayBuffer> {
  const withoutChecksum = create(StepCursorSchema, {
    ...message,
    checksum: new Uint8Array(),
  });
  const digest = createHash("sha256")
    .update(toBinary(StepCursorSchema, withoutChecksum)).digest();
  return new Uint8Array(digest.subarray(0, CHECKSUM_BYTES));
}
