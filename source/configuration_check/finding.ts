import type { ConfigurationDocument } from "../installation/configuration_document.ts";
import type { InstallationSettings } from "../installation/installation_settings.ts";

/** How much a finding matters; only errors make the check fail. */
export type Severity = "error" | "warning" | "information";

/** Something that is or may be wrong in a configuration. */
export interface Finding {
  /** Name of the check that found it. */
  readonly kind: string;
  readonly severity: Severity;
  /** Path in the document, such as "routes[2].timeoutMilliseconds". */
  readonly path: string;
  /** What is wrong, with the value. */
  readonly message: string;
  /** How to correct it. */
  readonly remedy: string;
}

/** What a check sees. */
export interface CheckInput {
  readonly document: ConfigurationDocument;
  /** Size of the document in bytes. */
  readonly bytes: number;
  /** Document in force; undefined when there is none or it is not known. */
  readonly inForce: ConfigurationDocument | undefined;
  /** Settings of the nodes; undefined when they are not known. */
  readonly settings: InstallationSettings | undefined;
}

/** A finding without the name of its check. */
export type CheckFinding = Omit<Finding, "kind">;

/** Finds one kind of fault. */
export type Check = (input: CheckInput) => ReadonlyArray<CheckFinding>;

/**
 * Quotes a value for a message.
 * @param value - The value.
 */
export function quote(value: string): string {
  return JSON.stringify(value);
}
