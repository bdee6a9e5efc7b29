import type { CauseLedger } from "../observability/cause_ledger.ts";
import type { Refusal } from "./refusal.ts";

/**
 * Accounts for a request that was refused with `staleKeys`, because the node could not confirm the
 * key. The refusal itself takes no time, so the platform outage is charged with the time until the
 * caller may retry.
 * @param ledger - Ledger of the node.
 * @param identifier - Identifier of the request.
 * @param refusal - Any refusal of a key; only `staleKeys` has an effect.
 */
export function accountStaleKeys(
  ledger: CauseLedger,
  identifier: string,
  refusal: Refusal,
): void {
  if (refusal.error !== "staleKeys") return;
  const entry = ledger.open({
    kind: "request",
    identifier,
    organisation: "",
    classOfWork: "",
    service: "",
  });
  entry.add("platformOutage", refusal.retryAfterMilliseconds ?? 0);
  entry.close(true);
}
