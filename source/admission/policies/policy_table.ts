import type { AdmissionPolicy } from "./admission_policy.ts";
import { chooseFifo } from "./fifo_policy.ts";
import { choosePerNodeFair } from "./per_node_fair_policy.ts";
import { chooseSlackFair } from "./slack_fair_policy.ts";

/** Names of the admission policies; all but `slackFair` are baselines for comparison. */
export type AdmissionPolicyName = "fifo" | "perNodeFair" | "slackFair";

/** Policy of a node whose settings name none. */
export const DEFAULT_ADMISSION_POLICY: AdmissionPolicyName = "slackFair";

/** Admission policies by name. */
export const ADMISSION_POLICIES: Readonly<
  Record<AdmissionPolicyName, AdmissionPolicy>
> = {
  fifo: {
    choose: chooseFifo,
    equalShareFor: "nodes",
    refusesLate: false,
  },
  perNodeFair: {
    choose: choosePerNodeFair,
    equalShareFor: "nodes",
    refusesLate: false,
  },
  slackFair: {
    choose: chooseSlackFair,
    equalShareFor: "organisations",
    refusesLate: true,
  },
};

/**
 * Finds an admission policy by its name in the settings.
 * @param name - The name; empty for the default.
 * @returns The policy; the default policy for an unknown name.
 * @example
 * ```ts
 * const policy = findAdmissionPolicy(settings.admissionPolicy);
 * ```
 */
export function findAdmissionPolicy(name: string): AdmissionPolicy {
  return isAdmissionPolicyName(name)
    ? ADMISSION_POLICIES[name]
    : ADMISSION_POLICIES[DEFAULT_ADMISSION_POLICY];
}

/** Returns whether a text names an admission policy. */
export function isAdmissionPolicyName(
  name: string,
): name is AdmissionPolicyName {
  return Object.hasOwn(ADMISSION_POLICIES, name);
}
