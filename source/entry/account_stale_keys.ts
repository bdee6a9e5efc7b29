import type { CauseLedger } from "../observability/cause_ledger.ts";
import type { Refusal } from "./refusal.ts";

/**
 * Accounts for a request that was refused because the platform was away too long to tell whether
 * its key is valid. The refusal takes no time itself; its cause costs the caller the time until it
 * may come back.
 * @param ledger - The node's ledger.
 * @param identifier - The request's identifier.
 * @param refusal - Any refusal of a key; others than `staleKeys` are left alone.
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
