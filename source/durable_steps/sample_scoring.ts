import {
  findPriority,
  findRoute,
  type ServiceRoute,
} from "../installation/configuration.ts";
import type { ScoringRequest } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";

const RETRY_PAUSE_MILLISECONDS = 100;
const SERVER_ERROR_STATUS = 500;
const CONTENT_TYPE = "application/octet-stream";

/** The result of scoring a sample. */
export type ScoringOutcome =
  | { readonly kind: "scored"; readonly score: string }
  /** The route's maximum number of attempts ended with status 500. */
  | { readonly kind: "failed" }
  | { readonly kind: "cancelled" };

/** Reads the signature from the headers of a response; undefined when it has none. */
export type ReadSignature = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
) => string | undefined;

/**
 * Sends the scoring request of a sample until it gets a signed response with a 2xx status, has
 * failed, or is cancelled.
 * @param tools - The forwarder, the configuration and the clock.
 * @param options - The request, the organisation of the sample, the parser of signatures and the signal
 * that cancels scoring.
 */
export async function scoreSample(
  tools: StepTools,
  options: {
    readonly scoring: ScoringRequest;
    readonly organisation: string;
    readonly readSignature: ReadSignature;
    readonly signal: AbortSignal;
  },
): Promise<ScoringOutcome> {
  const { clock } = tools;
  const { scoring, signal, readSignature, organisation } = options;
  let failures = 0;
  while (!signal.aborted) {
    const route = findScoringRoute(tools, scoring);
    let pause = RETRY_PAUSE_MILLISECONDS;
    if (route !== undefined) {
      const outcome = await tools.forwarder.forward({
        request: {
          identifier: scoring.identifier,
          method: "POST",
          path: scoring.path,
          host: scoring.host,
          headers: { "content-type": CONTENT_TYPE },
          body: scoring.body,
        },
        route,
        findRoute: () => findScoringRoute(tools, scoring),
        priority: findPriority(tools.configuration(), route, organisation),
        organisation,
        isDeferrable: true,
        mayCrashServers: false,
        deadline: clock.monotonic() + route.timeoutMilliseconds,
        signal,
        onAnswered: (status) => {
          if (status === SERVER_ERROR_STATUS) failures += 1;
        },
        findAllowedRegions: () =>
          tools.regionRules.find({
            host: scoring.host,
            path: toPath(scoring),
            organisation,
          }),
      });
      if (outcome.kind === "answered") {
        const score = readSignature(outcome.headers);
        const isServed = outcome.status >= 200 && outcome.status < 300;
        if (isServed && score !== undefined) return { kind: "scored", score };
      } else if (outcome.kind === "streaming") {
        // A response too large to be buffered is no score.
        outcome.finish();
        failures += 1;
      } else if (outcome.kind === "refused") {
        pause = outcome.retryAfterMilliseconds ?? pause;
      }
    }
    if (failures >= (route?.maximumAttempts ?? Infinity)) {
      return { kind: "failed" };
    }
    await clock.sleep(pause, signal);
  }
  return { kind: "cancelled" };
}

function findScoringRoute(
  tools: StepTools,
  scoring: ScoringRequest,
): ServiceRoute | undefined {
  const configuration = tools.configuration();
  if (configuration === undefined) return undefined;
  return findRoute(configuration, scoring.host, toPath(scoring));
}

function toPath({ path }: ScoringRequest): string {
  return path.split("?")[0] ?? "";
}
