import type { ServerRequest } from "../backends/server_client.ts";
import type { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { StreamOrigin } from "../decisions/stream_continuation.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import type { RelayedRequest } from "./peer_client.ts";

/** A call to forward to a backend server. */
export interface ForwardedCall {
  readonly request: Omit<ServerRequest, "budgetMilliseconds">;
  /** The route when the call arrived; its time limits and kind hold for the whole call. */
  readonly route: ServiceRoute;
  /**
   * Returns the route that is in force now, undefined for none; asked before each attempt and while the
   * call waits, as the route may move to other services. Always the same route if absent.
   */
  readonly findRoute?: () => ServiceRoute | undefined;
  /** The caller's deadline, in milliseconds on the monotonic clock. */
  readonly deadline: number;
  /** Rank of the call's organisation or else of its route; 0 goes first. */
  readonly priority: number;
  /** Organisation that the call counts for; none for calls of public routes. */
  readonly organisation?: string | undefined;
  /** Whether calls of the same rank that callers wait for go first. */
  readonly isDeferrable: boolean;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /**
   * Called with the status of each signed response of a server to this node; the signature proves that
   * the server ran the request.
   */
  readonly onAnswered?: (status: number) => void;
  /** Whether the call may crash the servers that run it; scoring requests of samples do not. */
  readonly mayCrashServers: boolean;
  /** What other nodes need to forward the call; absent if they may not. */
  readonly relay?: Pick<RelayedRequest, "key" | "configurationVersion">;
  /** Called with the server that begins to answer this node with a stream. */
  readonly onStreaming?: (server: BackendServerEntry) => void;
  /** The only service and software version that may answer; any of the route if absent. */
  readonly origin?: StreamOrigin;
  /**
   * Returns the regions in which the call may be processed now, undefined for any; asked before each
   * attempt, as the lists may change. Any region if absent.
   */
  readonly findAllowedRegions?: () => AllowedRegions | undefined;
}
