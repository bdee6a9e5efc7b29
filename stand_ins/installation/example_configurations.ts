type Fields = Readonly<Record<string, unknown>>;

const ROUTE = {
  name: "calls",
  host: "calls.example",
  prefix: "/calls/",
  kind: "idempotent",
  service: "plain",
  "timeout_ms": 3000,
  "target_latency_ms": 200,
  "max_attempts": 3,
  priority: 1,
};
const STEPS = {
  ...ROUTE,
  name: "steps",
  prefix: "/steps/",
  kind: "rollout",
  service: "engines",
  "result_deadline_ms": 5000,
  "item_ttl_s": 30,
  "single_version": true,
};
const STREAMS = {
  ...ROUTE,
  name: "streams",
  prefix: "/streams/",
  kind: "streaming",
  service: "engines",
  resumable: true,
};
const PLAIN = { name: "plain", "health_path": "/health", "max_conns": 50 };
const ENGINES = {
  ...PLAIN,
  name: "engines",
  "cold_start_s": 3,
  "cold_per_s": 13,
  engine: {
    slots: 6,
    "kv_capacity_tokens": 9000,
    models: [{ name: "model-a" }],
  },
  scaling: {
    min: 1,
    max: 4,
    "boot_s": 4,
    "spot_price": 0.4,
    "zone_prices": { a: 1, b: 2 },
  },
};
const SCHOOL = {
  name: "school",
  "api_keys": ["secret-key-1"],
  priority: 1,
  "allowed_regions": ["north"],
};
const CLINIC = { name: "clinic", "api_keys": ["secret-key-2"] };
/** A configuration without faults. */
export const VALID_CONFIGURATION = {
  version: 7,
  routes: [
    ROUTE,
    { ...STEPS, "allowed_regions": ["north", "south"] },
    STREAMS,
  ],
  services: [PLAIN, ENGINES],
  limits: {
    "max_header_bytes": 16_384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 5000,
  },
  tenants: [SCHOOL, CLINIC],
};
function without(entry: Fields, name: string): Fields {
  return Object.fromEntries(
    Object.entries(entry).filter(([each]) => each !== name),
  );
}

/** A faulty configuration, and the version in force where the fault depends on it. */
export interface FaultyConfiguration {
  readonly document: unknown;
  readonly inForce?: unknown;
}

/** Faulty configurations by the fault; they fit the test's settings. */
export const FAULTY_CONFIGURATIONS: Readonly<
  Record<string, FaultyConfiguration>
> = {
  "no JSON": { document: "{ secret-key-1" },
  "a list": { document: [] },
  "no fields": { document: {} },
  "a route without its required fields": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [{ name: 7 }, "route", ...VALID_CONFIGURATION.routes],
    },
  },
  "routes with defaults and mistyped fields": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [
        {
          name: "c",
          host: "h",
          prefix: "/c/",
          kind: "batch",
          service: "engines",
        },
        {
          ...ROUTE,
          "timeout_ms": "900",
          "max_attempts": -1,
          public: "yes",
          "allowed_regions": "north",
          split: [],
        },
        {
          ...without(ROUTE, "service"),
          prefix: "/split/",
          split: [{ service: "plain" }, { service: "engines", weight: "9" }],
        },
      ],
    },
  },
  "misspelt and unknown fields": {
    document: {
      ...VALID_CONFIGURATION,
      rootes: [],
      routes: [
        { ...without(ROUTE, "timeout_ms"), timeout: 900, colour: "red" },
        ...VALID_CONFIGURATION.routes.slice(1),
      ],
      services: [PLAIN, { ...ENGINES, engine: { ...ENGINES.engine, slot: 6 } }],
      limits: { ...VALID_CONFIGURATION.limits, "idle_timeout": 5 },
      tenants: [
        SCHOOL,
        { ...without(CLINIC, "api_keys"), "api_key": ["secret-key-2"] },
        { name: "o", "secret-key-3": true, "api_keys": ["secret-key-4"] },
      ],
    },
  },
  "services with defaults and mistyped fields": {
    document: {
      ...VALID_CONFIGURATION,
      services: [
        { name: "plain" },
        {
          ...ENGINES,
          engine: { models: [{ name: "model-a" }, { name: 4 }] },
          scaling: { min: "1", "zone_prices": { a: "1" } },
        },
      ],
    },
  },
  "organisations that can't be read in full": {
    document: {
      ...VALID_CONFIGURATION,
      tenants: [
        { "api_keys": ["secret-key-1"] },
        "secret-key-2",
        { name: "o", "api_keys": "secret-key-3", priority: "secret-key-4" },
        { name: "p", "api_keys": [5], "allowed_regions": ["north", 6] },
      ],
    },
  },
  "organisations that are not a list": {
    document: { ...VALID_CONFIGURATION, tenants: { "secret-key-1": "school" } },
  },
  "no organisations": { document: without(VALID_CONFIGURATION, "tenants") },
  "organisations without any key": {
    document: { ...VALID_CONFIGURATION, tenants: [{ name: "o" }] },
  },
  "duplicate names": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [...VALID_CONFIGURATION.routes, { ...ROUTE, prefix: "/other/" }],
      services: [...VALID_CONFIGURATION.services, PLAIN],
      tenants: [SCHOOL, CLINIC, { ...CLINIC, "api_keys": ["secret-key-9"] }],
    },
  },
  "services that are missing, unused or without models": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [
        { ...ROUTE, service: "absent" },
        { ...STEPS, service: "plain" },
        {
          ...without(ROUTE, "service"),
          name: "split",
          prefix: "/split/",
          split: [{ service: "gone", weight: 1 }],
        },
      ],
    },
  },
  "keys that are listed twice": {
    document: {
      ...VALID_CONFIGURATION,
      tenants: [
        SCHOOL,
        { ...CLINIC, "api_keys": ["secret-key-2", "secret-key-2"] },
        { name: "third", "api_keys": ["secret-key-1"] },
      ],
    },
  },
  "the version in force": {
    document: VALID_CONFIGURATION,
    inForce: { ...VALID_CONFIGURATION, version: 7 },
  },
  "an older version than that in force, which nodes ignore": {
    document: VALID_CONFIGURATION,
    inForce: { version: 8 },
  },
  "routes that no request matches": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [
        ...VALID_CONFIGURATION.routes,
        { ...ROUTE, name: "again" },
        { ...ROUTE, name: "port", host: "calls.example:80" },
        { ...ROUTE, name: "capital", host: "Calls.example" },
        { ...ROUTE, name: "relative", prefix: "calls/" },
        { ...ROUTE, name: "open", prefix: "/open" },
      ],
    },
  },
  "weights that get no requests": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [
        ...VALID_CONFIGURATION.routes,
        {
          ...without(ROUTE, "service"),
          name: "one",
          prefix: "/one/",
          split: [
            { service: "plain", weight: 1 },
            { service: "engines", weight: 0 },
          ],
        },
        {
          ...without(ROUTE, "service"),
          name: "none",
          prefix: "/none/",
          split: [{ service: "plain", weight: 0 }],
        },
        {
          ...without(ROUTE, "service"),
          name: "negative",
          prefix: "/negative/",
          split: [
            { service: "plain", weight: 5 },
            { service: "engines", weight: -2 },
          ],
        },
      ],
    },
  },
  "an organisation without keys": {
    document: {
      ...VALID_CONFIGURATION,
      tenants: [SCHOOL, { ...CLINIC, "api_keys": [] }],
    },
  },
  "an organisation without keys beside an open route": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [
        { ...ROUTE, public: true },
        ...VALID_CONFIGURATION.routes.slice(1),
      ],
      tenants: [SCHOOL, { ...CLINIC, "api_keys": [] }],
    },
  },
  "regions without a common or a known one": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [
        { ...ROUTE, "allowed_regions": ["south"] },
        { ...STEPS, "allowed_regions": ["west"] },
        { ...STREAMS, "allowed_regions": ["north", "west"] },
      ],
      services: [
        PLAIN,
        {
          ...ENGINES,
          scaling: { ...ENGINES.scaling, "zone_prices": { z: 1 } },
        },
      ],
    },
  },
  "limits of routes that contradict each other": {
    document: {
      ...VALID_CONFIGURATION,
      routes: [
        { ...ROUTE, "target_latency_ms": 3001, resumable: true },
        { ...STEPS, "result_deadline_ms": 130_001, "item_ttl_s": 130 },
        {
          ...STREAMS,
          "timeout_ms": 0,
          "target_latency_ms": 0,
          "max_attempts": 0,
        },
      ],
    },
  },
  "limits of services that contradict each other": {
    document: {
      ...VALID_CONFIGURATION,
      services: [
        { ...PLAIN, "max_conns": 0, "cold_start_s": 3, "cold_per_s": 0 },
        {
          ...ENGINES,
          "max_conns": 5,
          "cold_per_s": 31,
          scaling: { ...ENGINES.scaling, min: 5 },
        },
      ],
      limits: { ...VALID_CONFIGURATION.limits, "max_body_bytes": 0 },
    },
  },
  "an engine service without slots": {
    document: {
      ...VALID_CONFIGURATION,
      services: [PLAIN, {
        ...ENGINES,
        engine: { ...ENGINES.engine, slots: 0 },
      }],
    },
  },
  "more bytes than a row may have": {
    document: {
      ...VALID_CONFIGURATION,
      services: [PLAIN, ENGINES, {
        ...PLAIN,
        name: "x".repeat(65_000),
      }],
      routes: [...VALID_CONFIGURATION.routes, {
        ...ROUTE,
        name: "long",
        prefix: "/long/",
        service: "x".repeat(65_000),
      }],
    },
  },
};

/** The configuration without faults after some changes. */
export const CHANGED_CONFIGURATION = {
  ...VALID_CONFIGURATION,
  version: 8,
  routes: [
    { ...ROUTE, "timeout_ms": 4000 },
    {
      ...without(STREAMS, "service"),
      split: [{ service: "engines", weight: 1 }, {
        service: "plain",
        weight: 2,
      }],
    },
    { ...ROUTE, name: "new", prefix: "/new/" },
  ],
  limits: { ...VALID_CONFIGURATION.limits, "max_body_bytes": 2_000_000 },
  tenants: [
    { ...SCHOOL, "api_keys": ["secret-key-3"], "allowed_regions": ["south"] },
  ],
};
