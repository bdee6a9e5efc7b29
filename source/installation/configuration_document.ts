import type {
  CallerLimits,
  Configuration,
  Service,
  ServiceRoute,
} from "./configuration.ts";

/** An entry of a list that could be read, with its position in the list. */
export interface DocumentEntry<Value> {
  readonly index: number;
  readonly value: Value;
}

/** An organisation as the operator's document names it. */
export interface OrganisationEntry {
  readonly name: string;
  /** Undefined when the entry has no list of keys. */
  readonly keys: ReadonlyArray<string> | undefined;
  /** Undefined when the rank of the route applies. */
  readonly priority: number | undefined;
  /** Undefined for any region. */
  readonly regions: ReadonlySet<string> | undefined;
}

/** What nodes do in place of reading a field as it was written. */
export type IgnoredEffect =
  /** They ignore the whole document. */
  | { readonly kind: "document" }
  /** They ignore the entry that has the field. */
  | { readonly kind: "entry" }
  /** They ignore the field. */
  | { readonly kind: "field" }
  /** They use another value. */
  | { readonly kind: "replaced"; readonly by: string };

/** A field of the document that nodes ignore or read otherwise than written. */
export interface IgnoredField {
  readonly kind: "missing" | "mistyped" | "unknown" | "unusable";
  /** Path in the document, in the names of the wire. */
  readonly path: string;
  /** The value as text that may be shown: no key and no list or object in full. */
  readonly value: string;
  /** What the field must be; for an unknown field, the nearest known name or an empty text. */
  readonly expected: string;
  readonly effect: IgnoredEffect;
}

/** The operator's document as far as it could be read, with all that was ignored. */
export interface ConfigurationDocument {
  /** Undefined when it is missing or mistyped. */
  readonly version: number | undefined;
  readonly routes: ReadonlyArray<DocumentEntry<ServiceRoute>>;
  readonly services: ReadonlyArray<DocumentEntry<Service>>;
  readonly limits: CallerLimits;
  /** Undefined when no route needs a key. */
  readonly organisations:
    | ReadonlyArray<DocumentEntry<OrganisationEntry>>
    | undefined;
  readonly ignored: ReadonlyArray<IgnoredField>;
}

/**
 * Returns the configuration that nodes put in force.
 * @param document - The operator's document.
 * @returns Undefined when nodes ignore the whole document.
 * @example
 * ```ts
 * const configuration = toConfiguration(document);
 * ```
 */
export function toConfiguration(
  document: ConfigurationDocument,
): Configuration | undefined {
  const { version, routes, services, limits, ignored } = document;
  if (version === undefined) return undefined;
  if (ignored.some(({ effect }) => effect.kind === "document")) {
    return undefined;
  }
  const organisations = document.organisations?.map(({ value }) => value);
  return {
    version,
    routes: routes.map(({ value }) => value),
    services: new Map(services.map(({ value }) => [value.name, value])),
    limits,
    organisationsByKey: organisations && new Map(
      organisations.flatMap(({ name, keys = [] }) =>
        keys.map((key) => [key, name] as const)
      ),
    ),
    organisationPriorities: new Map(
      organisations?.flatMap(({ name, priority }) =>
        priority === undefined ? [] : [[name, priority] as const]
      ),
    ),
    organisationRegions: new Map(
      organisations?.flatMap(({ name, regions }) =>
        regions === undefined ? [] : [[name, regions] as const]
      ),
    ),
  };
}
