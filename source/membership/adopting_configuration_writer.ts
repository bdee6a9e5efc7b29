import { Code, ConnectError } from "@connectrpc/connect";
import type { Declaration } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { ConfigurationRecord } from "../../generated/snipepath/v1/records_pb.ts";
import type {
  ApplyOutcome,
  ApplyRequest,
  ConfigurationWriter,
} from "../operators/configuration_writer.ts";
import type { ConfigurationStore } from "./configuration_store.ts";
import type { ConfigurationView } from "./configuration_view.ts";

/**
 * Writes revisions to the platform's table and adopts the revision that each write returns; this
 * node then publishes the adopted revision to its peers.
 */
export class AdoptingConfigurationWriter implements ConfigurationWriter {
  readonly #store: ConfigurationStore;
  readonly #view: ConfigurationView;

  /**
   * @param store - Store of the configuration in the platform's table.
   * @param view - The configuration in force on this node.
   */
  constructor(store: ConfigurationStore, view: ConfigurationView) {
    this.#store = store;
    this.#view = view;
  }

  /**
   * Applies a declaration; adopts the returned revision, also after an unchanged declaration or a
   * conflict.
   */
  async apply(
    declaration: Declaration,
    request: ApplyRequest,
  ): Promise<ApplyOutcome> {
    const outcome = await this.#store.apply(declaration, request);
    if (outcome.kind === "unavailable") return outcome;
    if (outcome.record.revision > 0n) this.#view.adopt(outcome.record);
    return outcome;
  }

  /**
   * Returns the newest revisions, the newest first.
   * @throws {ConnectError} With the code `Unavailable` when the table can't be read.
   */
  async history(
    maximum: number,
  ): Promise<ReadonlyArray<ConfigurationRecord>> {
    const outcome = await this.#store.history(maximum);
    if (outcome.kind === "ok") return outcome.value;
    throw new ConnectError(outcome.reason, Code.Unavailable);
  }
}
