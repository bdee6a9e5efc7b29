import type { BackendServerEntry } from "../../source/installation/backend_server_entry.ts";

/** Creates the entry of an engine of service "s" that has loaded model "m". */
export function createServerEntry(
  identifier: string,
  more: Partial<BackendServerEntry> = {},
): BackendServerEntry {
  return {
    identifier,
    startedAt: 0,
    service: "s",
    softwareVersion: "v1",
    address: "a:1",
    failureDomain: "a",
    slots: 4,
    isDraining: false,
    warmUpMilliseconds: 0,
    weightVersions: new Map([["m", 1]]),
    acceptedOrders: 0,
    isReclaimable: false,
    ...more,
  };
}
