/** Service of a layout. */
export interface ServiceLayout {
  readonly name: string;
  readonly kind: "model" | "plain";
  readonly servers: number;
}

/** Services, failure domains and callers of a deployment. */
export interface DeploymentLayout {
  readonly name: "atbr" | "otjiwarongo";
  readonly region: string;
  readonly failureDomains: ReadonlyArray<string>;
  /** One-way latency between failure domains, in milliseconds. */
  readonly latencyMilliseconds: number;
  readonly services: ReadonlyArray<ServiceLayout>;
  /** Path of the declaration. */
  readonly declaration: string;
  /** Path of calls that may not be repeated. */
  readonly orderPath: string;
  /** Path of calls that may be repeated. */
  readonly statusPath: string;
  readonly trainer: string;
  readonly trainerOrganisation: string;
  readonly organisations: ReadonlyArray<string>;
}

/** Layouts of the users' deployments, by name. */
export const LAYOUTS: Readonly<
  Record<DeploymentLayout["name"], DeploymentLayout>
> = {
  atbr: {
    name: "atbr",
    region: "ro-nord",
    failureDomains: ["cluj-a", "iasi-b", "suceava-c"],
    latencyMilliseconds: 1.5,
    services: [
      { name: "dot-models", kind: "model", servers: 6 },
      { name: "comenzi-app", kind: "plain", servers: 3 },
    ],
    declaration: "declarations/atbr.yaml",
    orderPath: "/orders",
    statusPath: "/orders/status",
    trainer: "contraction",
    trainerOrganisation: "atbr-cluj",
    organisations: ["atbr-cluj", "atbr-iasi", "school-suceava"],
  },
  otjiwarongo: {
    name: "otjiwarongo",
    region: "otj",
    failureDomains: ["otj-central", "otj-north", "otj-east"],
    latencyMilliseconds: 1,
    services: [
      { name: "assist-lm", kind: "model", servers: 6 },
      { name: "device-registry", kind: "plain", servers: 6 },
    ],
    declaration: "declarations/otjiwarongo.yaml",
    orderPath: "/loans",
    statusPath: "/loans/status",
    trainer: "assistant",
    trainerOrganisation: "library-central",
    organisations: ["library-central", "library-north", "schools-east"],
  },
};
