import type { Cause } from "../../source/observability/cause_ledger.ts";
import type { Deployment } from "../deployment/deployment.ts";
import type { DeploymentLayout } from "../deployment/layout.ts";
import type { RequestStream } from "./request_plan.ts";

/** Deployment into which a scenario injects its faults, and timer for their times. */
export interface DisturbanceContext {
  readonly deployment: Deployment;
  /** Waits until the given number of milliseconds after the start of the load. */
  readonly waitUntil: (milliseconds: number) => Promise<void>;
}

/** Load, and the faults that occur while it runs. */
export interface Scenario {
  readonly description: string;
  readonly layout: DeploymentLayout["name"];
  readonly nodes: number;
  readonly durationMilliseconds: number;
  readonly streams: (layout: DeploymentLayout) => ReadonlyArray<RequestStream>;
  /** Samples in each step; 0 for no trainer. */
  readonly stepSamples: number;
  /** Returns flags of the engine with an index, in addition to the common ones. */
  readonly engineFlags?: (index: number) => ReadonlyArray<string>;
  readonly injectFaults?: (context: DisturbanceContext) => Promise<void>;
  /** Organisations that send more than their share. */
  readonly flooding?: ReadonlyArray<string>;
  /**
   * Causes of which `snipepath explain` must name one for missed targets; empty when no target
   * should be missed.
   */
  readonly causes: ReadonlyArray<Cause>;
}
