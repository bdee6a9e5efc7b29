import type { EntryRoute } from "./entry_handler.ts";

/** The result of looking up a method and path. */
export type RouteMatch =
  | {
    readonly kind: "found";
    readonly route: EntryRoute;
    readonly parameters: Readonly<Record<string, string>>;
  }
  | { readonly kind: "methodNotAllowed"; readonly allowed: string }
  | { readonly kind: "unknown" };

interface CompiledRoute {
  readonly route: EntryRoute;
  readonly segments: ReadonlyArray<string>;
}

/** Finds the route of a method and path in the HTTP API for callers. */
export class RouteTable {
  readonly #routes: ReadonlyArray<CompiledRoute>;

  /** @param routes - All routes; the first match is used. */
  constructor(routes: ReadonlyArray<EntryRoute>) {
    this.#routes = routes.map((route) => ({
      route,
      segments: route.path.split("/"),
    }));
  }

  /**
   * Finds the route of a request.
   * @param method - Method of the request.
   * @param path - Path of the request without the query.
   */
  find(method: string, path: string): RouteMatch {
    const segments = path.split("/");
    const allowed: string[] = [];
    for (const { route, segments: pattern } of this.#routes) {
      const parameters = matchSegments(pattern, segments);
      if (parameters === undefined) continue;
      if (route.method === method) return { kind: "found", route, parameters };
      allowed.push(route.method);
    }
    if (allowed.length === 0) return { kind: "unknown" };
    return { kind: "methodNotAllowed", allowed: allowed.join(", ") };
  }
}

function matchSegments(
  pattern: ReadonlyArray<string>,
  segments: ReadonlyArray<string>,
): Readonly<Record<string, string>> | undefined {
  if (pattern.length !== segments.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, name] of pattern.entries()) {
    const segment = segments[index] ?? "";
    if (!name.startsWith(":")) {
      if (name !== segment) return undefined;
      continue;
    }
    const value = decodeSegment(segment);
    if (value === undefined || value === "") return undefined;
    parameters[name.slice(1)] = value;
  }
  return parameters;
}

function decodeSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
