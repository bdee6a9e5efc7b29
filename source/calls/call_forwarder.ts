import type { CallForwarderOptions } from "./call_forwarder_options.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { ForwardedCall } from "./forwarded_call.ts";
import { ForwardingRun } from "./forwarding_run.ts";

/**
 * Forwards calls to backend servers: selects a server, retries where the route allows it, and
 * hedges a slow request with a second server.
 */
export class CallForwarder {
  readonly #options: CallForwarderOptions;

  /** @param options - The known servers and the client that reaches them. */
  constructor(options: CallForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards one call.
   * @returns The outcome; `refused` only when no server ran the request.
   */
  async forward(call: ForwardedCall): Promise<CallOutcome> {
    return await new ForwardingRun(this.#options, call).run();
  }

  /** Refuses the calls that wait, as the node is about to stop. */
  stopWaits(): void {
    this.#options.gate.stop();
  }

  /** Lets waiting calls ask again whose service or regions a new configuration has changed. */
  restartOutdatedWaits(): void {
    this.#options.gate.restartOutdatedWaits();
  }
}
