import type { AdmissionPolicy } from "./admission_policy.ts";
import { chooseFifo } from "./fifo_policy.ts";
import { choosePerNodeFair } from "./per_node_fair_policy.ts";
import { chooseSlackFair } from "./slack_fair_policy.ts";

/** Names of the admission policies; all but the last are baselines. */
export type AdmissionPolicyName = "fifo" | "perNodeFair" | "slackFair";

/** The policy of a node whose settings name none. */
export const DEFAULT_ADMISSION_POLICY: AdmissionPolicyName = "slackFair";

/** The admission policies by name. */
export const ADMISSION_POLICIES: Readonly<
  Record<AdmissionPolicyName, AdmissionPolicy>
> = {
  fifo: {
    choose: chooseFifo,
    equalPartsFor: "nodes",
    refusesLate: false,
  },
  perNodeFair: {
    choose: choosePerNodeFair,
    equalPartsFor: "nodes",
    refusesLate: false,
  },
  slackFair: {
    choose: chooseSlackFair,
    equalPartsFor: "organisations",
    refusesLate: true,
  },
};

/**
 * Finds a policy by the name that the settings give.
 * @param name - The name; empty for the default.
 * @returns The policy; the default one for a name that is not known.
 * @example
 * ```ts
 * const policy = findAdmissionPolicy(settings.admissionPolicy);
 * ```
 */
export function findAdmissionPolicy(name: string): AdmissionPolicy {
  return isPolicyName(name)
    ? ADMISSION_POLICIES[name]
    : ADMISSION_POLICIES[DEFAULT_ADMISSION_POLICY];
}

/** Returns whether a text names an admission policy. */
export function isPolicyName(name: string): name is AdmissionPolicyName {
  return Object.hasOwn(ADMISSION_POLICIES, name);
}
