import type { Metrics } from "../observability/metrics.ts";
import type { DispatchRefusal, Work } from "./dispatcher.ts";

/**
 * Counts a retry.
 * @param metrics - Metrics that receive the count.
 * @param work - Work that is retried.
 * @example
 * ```ts
 * countRetry(context.metrics, work);
 * ```
 */
export function countRetry(metrics: Metrics, work: Work): void {
  metrics.count("dispatch.retries", {
    service: work.service,
    class: work.classOfWork,
  });
}

/**
 * Counts a refusal by its kind and reason.
 * @param metrics - Metrics that receive the count.
 * @param work - Refused work.
 * @param refusal - Kind and reason of the refusal.
 * @example
 * ```ts
 * countRefusal(context.metrics, work, refusal);
 * ```
 */
export function countRefusal(
  metrics: Metrics,
  work: Work,
  { kind, reason }: Pick<DispatchRefusal, "kind" | "reason">,
): void {
  const { service, classOfWork } = work;
  metrics.count("dispatch.refusals", {
    service,
    class: classOfWork,
    ran: kind,
    reason,
  });
}
