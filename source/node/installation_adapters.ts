import type { ServerClient } from "../backends/server_client.ts";
import type { PeerClient } from "../calls/peer_client.ts";
import type { DutyClient } from "../duties/duty_client.ts";
import type { ReadSignature } from "../durable_steps/sample_scoring.ts";
import type { ReadSubmission } from "../durable_steps/step_submission.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { OperatorRow } from "../installation/operator_view.ts";
import type { DurableTable } from "../platform/durable_table.ts";

/** Clients of an installation's services and parsers of its messages. */
export interface InstallationAdapters {
  readonly table: DurableTable;
  /** Registers a function that receives the store's steady time in milliseconds. */
  readonly watchStoreTime: (onTime: (milliseconds: number) => void) => void;
  readonly client: ServerClient;
  /** Client for the other nodes, which forward calls for this one. */
  readonly peers: PeerClient;
  /** Client for duty calls; undefined in an installation without duties. */
  readonly duties: DutyClient | undefined;
  /** Name of the table that the operator writes. */
  readonly operatorTable: string;
  /** Name of the table in which servers register. */
  readonly serverTable: string;
  readonly readOperatorRow: (key: string, value: Buffer) => OperatorRow;
  readonly readServerRow: (
    key: string,
    value: Buffer,
  ) => BackendServerEntry | undefined;
  readonly readSubmission: ReadSubmission;
  readonly readSignature: ReadSignature;
}
