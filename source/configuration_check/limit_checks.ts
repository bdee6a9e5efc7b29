import type { Service, ServiceRoute } from "../installation/configuration.ts";
import type { DocumentEntry } from "../installation/configuration_document.ts";
import {
  type Check,
  type CheckFinding,
  type CheckInput,
  quote,
  type Severity,
} from "./finding.ts";

/** Checks for limits that contradict each other. */
export const LIMIT_CHECKS: Readonly<Record<string, Check>> = {
  latencyTargetAboveTimeout: findTargetsAboveTimeout,
  deadlineAboveLifetime: findDeadlinesAboveLifetime,
  lifetimeAboveRetention: findLifetimesAboveRetention,
  zeroRouteLimit: findZeroRouteLimits,
  resumableWithoutStream: findResumableRoutes,
  scalingMinimumAboveMaximum: findScalingContradictions,
  warmUpRateAboveSlots: findWarmUpRatesAboveSlots,
  connectionsBelowSlots: findFewConnections,
  zeroServiceLimit: findZeroServiceLimits,
  zeroCallerLimit: findZeroCallerLimits,
};

function checkRoutes(
  { document: { routes } }: CheckInput,
  check: (
    route: ServiceRoute,
  ) => ReadonlyArray<Omit<CheckFinding, "path"> & { readonly field: string }>,
): ReadonlyArray<CheckFinding> {
  return checkEntries("routes", routes, check);
}

function checkEntries<Value>(
  list: string,
  entries: ReadonlyArray<DocumentEntry<Value>>,
  check: (
    value: Value,
  ) => ReadonlyArray<Omit<CheckFinding, "path"> & { readonly field: string }>,
): ReadonlyArray<CheckFinding> {
  return entries.flatMap(({ index, value }) =>
    check(value).map(({ field, severity, message, remedy }) => ({
      severity,
      path: `${list}[${index}].${field}`,
      message,
      remedy,
    }))
  );
}

function findTargetsAboveTimeout(
  input: CheckInput,
): ReadonlyArray<CheckFinding> {
  return checkRoutes(
    input,
    ({ latencyTargetMilliseconds, timeoutMilliseconds }) =>
      latencyTargetMilliseconds <= timeoutMilliseconds ? [] : [{
        field: "latencyTargetMilliseconds",
        severity: "error",
        message: `A target of ${latencyTargetMilliseconds} ms is above the ` +
          `timeout of ${timeoutMilliseconds} ms`,
        remedy: "Lower the target, or raise the timeout",
      }],
  );
}

function findDeadlinesAboveLifetime(
  input: CheckInput,
): ReadonlyArray<CheckFinding> {
  return checkRoutes(
    input,
    ({ kind, resultDeadlineMilliseconds, sampleLifetimeMilliseconds }) =>
      kind !== "steps" ||
        resultDeadlineMilliseconds <= sampleLifetimeMilliseconds
        ? []
        : [{
          field: "resultDeadlineMilliseconds",
          severity: "error",
          message: `Results are due after ${resultDeadlineMilliseconds} ms, ` +
            "but samples may be terminated after " +
            `${sampleLifetimeMilliseconds} ms`,
          remedy: "Lower the deadline, or raise the lifetime of samples",
        }],
  );
}

function findLifetimesAboveRetention(
  input: CheckInput,
): ReadonlyArray<CheckFinding> {
  const retention = input.settings?.bounds.resultRetentionMilliseconds;
  if (retention === undefined) return [];
  return checkRoutes(
    input,
    ({ kind, sampleLifetimeMilliseconds }) =>
      kind !== "steps" || sampleLifetimeMilliseconds <= retention ? [] : [{
        field: "sampleLifetimeMilliseconds",
        severity: "warning",
        message: `Samples may run for ${sampleLifetimeMilliseconds} ms, but ` +
          `results are kept only for ${retention} ms after the submission`,
        remedy:
          "Lower the lifetime of samples, or raise the retention in the " +
          "settings of all nodes",
      }],
  );
}

const ROUTE_LIMITS = {
  timeoutMilliseconds: {
    severity: "error",
    effect: "no request is answered in time",
  },
  maximumAttempts: {
    severity: "warning",
    effect: "one attempt is still made, as with 1",
  },
} as const;

function findZeroRouteLimits(input: CheckInput): ReadonlyArray<CheckFinding> {
  return checkRoutes(input, (route) => findZeroFields(route, ROUTE_LIMITS));
}

const SERVICE_LIMITS = {
  maximumConnections: {
    severity: "error",
    effect: "servers accept no connection",
  },
} as const;

const ENGINE_LIMITS = {
  engineSlots: { severity: "error", effect: "engines run no request" },
} as const;

function findZeroServiceLimits(
  { document: { services } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return checkEntries("services", services, (service) => [
    ...findZeroFields(service, SERVICE_LIMITS),
    ...(service.models.length === 0
      ? []
      : findZeroFields(service, ENGINE_LIMITS)),
  ]);
}

const CALLER_LIMITS = {
  bodyBytes: {
    severity: "error",
    effect: "only requests without a body are accepted",
  },
} as const;

function findZeroCallerLimits(
  { document: { limits } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return findZeroFields(limits, CALLER_LIMITS).map((
    { field, severity, message, remedy },
  ) => ({ severity, path: `limits.${field}`, message, remedy }));
}

interface ZeroEffect {
  readonly severity: Severity;
  readonly effect: string;
}

function findZeroFields<Field extends string>(
  value: Readonly<Record<NoInfer<Field>, number>>,
  effects: Readonly<Record<Field, ZeroEffect>>,
): ReadonlyArray<Omit<CheckFinding, "path"> & { readonly field: string }> {
  return Object.entries<ZeroEffect>(effects).flatMap((
    [field, { severity, effect }],
  ) =>
    value[field as Field] !== 0 ? [] : [{
      field,
      severity,
      message: `With 0, ${effect}`,
      remedy: "Set it above 0",
    }]
  );
}

function findResumableRoutes(input: CheckInput): ReadonlyArray<CheckFinding> {
  return checkRoutes(
    input,
    ({ kind, isResumable }) =>
      kind === "streaming" || !isResumable ? [] : [{
        field: "isResumable",
        severity: "warning",
        message: "The route has no streams that could be resumed",
        remedy: "Remove the field, or make the route a streaming one",
      }],
  );
}

function findScalingContradictions(
  { document: { services } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return checkEntries(
    "services",
    services,
    ({ scaling }) =>
      scaling === undefined || scaling.minimum <= scaling.maximum ? [] : [{
        field: "scaling.minimum",
        severity: "error",
        message:
          `A minimum of ${scaling.minimum} servers is above the maximum ` +
          `of ${scaling.maximum}`,
        remedy: "Lower the minimum, or raise the maximum",
      }],
  );
}

function findWarmUpRatesAboveSlots(
  { document: { services, routes } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return checkEntries("services", services, (service) => {
    const { warmUp, engineSlots } = service;
    const target = findShortestTarget(service, routes);
    if (warmUp === undefined || engineSlots === 0) return [];
    if (target === undefined || target === 0) return [];
    const usable = 1000 * engineSlots / target;
    if (warmUp.requestsPerSecond <= usable) return [];
    return [{
      field: "warmUp.requestsPerSecond",
      severity: "warning",
      message: `${warmUp.requestsPerSecond} requests a second in a warm-up ` +
        `are more than the ${Number(usable.toFixed(1))} that ${engineSlots} ` +
        `slots run within the shortest latency target of ${target} ms`,
      remedy: "Lower the rate, or check slots and latency targets",
    }];
  });
}

// Samples run for as long as their text needs, so their routes say nothing about the rate.
function findShortestTarget(
  { name }: Service,
  routes: ReadonlyArray<DocumentEntry<ServiceRoute>>,
): number | undefined {
  const targets = routes
    .filter(({ value }) =>
      value.kind !== "steps" &&
      value.services.some(({ service }) => service === name)
    )
    .map(({ value }) => value.latencyTargetMilliseconds);
  return targets.length === 0 ? undefined : Math.min(...targets);
}

function findFewConnections(
  { document: { services } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return checkEntries(
    "services",
    services,
    ({ name, maximumConnections, engineSlots }) =>
      maximumConnections >= engineSlots ? [] : [{
        field: "maximumConnections",
        severity: "error",
        message: `${maximumConnections} connections can't use the ` +
          `${engineSlots} slots of an engine of ${quote(name)}`,
        remedy: "Raise the connections to the slots or more, as all nodes " +
          "share them",
      }],
  );
}
