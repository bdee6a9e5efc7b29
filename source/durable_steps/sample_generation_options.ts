import type { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { TextLengthEstimate } from "../decisions/text_length.ts";
import type { ServerClient } from "../backends/server_client.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import type { ServerStarts } from "../installation/server_starts.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EnginePool } from "./engine_pool.ts";
import type { SampleText } from "./sample_text.ts";
import type { SampleRequest } from "./step_submission.ts";

/** The sample and the dependencies of its generation. */
export interface SampleGenerationOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly pool: EnginePool;
  readonly client: Pick<ServerClient, "open" | "readEvents">;
  readonly servers: ServerView;
  readonly serverStarts: Pick<ServerStarts, "mayHaveChanged">;
  readonly sample: SampleRequest;
  readonly text: SampleText;
  readonly host: string;
  readonly organisation: string;
  readonly model: string;
  readonly minimumVersion: number;
  /** Returns the monotonic time, in milliseconds, at which the results of the step are due. */
  readonly findDueTime: () => number;
  /** Identifies the sample's group among those of all steps. */
  readonly group: string;
  /** Whether the trainer waits for other groups instead of this sample's. */
  readonly isSpare: boolean;
  readonly textLengths: TextLengthEstimate;
  /** Whether the text is expected to be among the longest of its step. */
  readonly isLong: boolean;
  /** Returns the active route; undefined when the configuration has none for the sample. */
  readonly route: () => ServiceRoute | undefined;
  /**
   * Returns the regions in which the sample may be processed now, undefined for any; any region if
   * absent.
   */
  readonly findAllowedRegions?: () => AllowedRegions | undefined;
  /** Number from 0 up to but not including 1 that divides samples among services, equal in a group. */
  readonly draw: number;
  /** Returns the remaining lifetime of the sample in milliseconds. */
  readonly remainingMilliseconds: () => number;
  readonly signal: AbortSignal;
}
