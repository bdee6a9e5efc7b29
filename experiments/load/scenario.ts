import type { Cause } from "../../source/observability/cause_ledger.ts";
import type { Deployment } from "../deployment/deployment.ts";
import type { DeploymentLayout } from "../deployment/layout.ts";
import type { RequestStream } from "./request_plan.ts";

/** What a scenario's disturbance works with. */
export interface Disturbed {
  readonly deployment: Deployment;
  /** Waits until so many milliseconds after the load began. */
  readonly waitUntil: (milliseconds: number) => Promise<void>;
}

/** A load and what goes wrong meanwhile. */
export interface Scenario {
  readonly description: string;
  readonly layout: DeploymentLayout["name"];
  readonly nodes: number;
  readonly durationMilliseconds: number;
  readonly streams: (layout: DeploymentLayout) => ReadonlyArray<RequestStream>;
  /** Samples of a step; 0 for no trainer. */
  readonly stepSamples: number;
  /** Flags of engines by their index, beside the common ones. */
  readonly engineFlags?: (index: number) => ReadonlyArray<string>;
  readonly disturb?: (disturbed: Disturbed) => Promise<void>;
  /** Organisations that send more than their share. */
  readonly flooding?: ReadonlyArray<string>;
  /** Causes of which one must be named for missed targets; empty where none should be missed. */
  readonly causes: ReadonlyArray<Cause>;
}
