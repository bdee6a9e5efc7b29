import type { ServiceDemands } from "./demand_claims.ts";
import type { LimitRecord } from "./server_limits.ts";
import type { ServerStart } from "./backend_server_entry.ts";
import type { WorkRecord } from "./work_record.ts";

/** What a node publishes about itself. */
export interface NodeDescription {
  /** Name of the node. */
  readonly node: string;
  /**
   * Identity of the node's process: the node's name and a random part that is new at each start.
   */
  readonly nodeStart: string;
  readonly failureDomain: string;
  /** Processor capacity that the node may use, in cores of reference speed. */
  readonly processorShare: number;
  /** HOST:PORT that callers connect to. */
  readonly callerAddress: string;
  /** HOST:PORT at which the node forwards calls for other nodes; undefined if it does not. */
  readonly peerAddress: string | undefined;
  /** Whether the node reaches no server. */
  readonly isCutOff: boolean;
  /** Whether the node takes new callers. */
  readonly isServing: boolean;
  /** Whether the node runs steps, which stop until its loss is detected. */
  readonly isRunningSteps: boolean;
  /**
   * Samples that the node runs on engines and loads that it ordered; undefined when there are none.
   */
  readonly engineUse: EngineUseRecord | undefined;
  /** Servers that are about to stop according to answers that some node got. */
  readonly leavingServers: ReadonlyArray<ServerStart>;
  /** Limits that servers named to the node, and its use of them. */
  readonly limits: ReadonlyArray<LimitRecord>;
  /** Demand for the servers of services with a warm-up; none if absent. */
  readonly demands?: ServiceDemands;
  /** What waits and runs at the node by rank and organisation; undefined while nothing waits. */
  readonly work?: WorkRecord | undefined;
  /**
   * Difference between the node's wall clock and the time of the store, in milliseconds; undefined
   * in the heartbeats that do not publish it.
   */
  readonly wallOffset: number | undefined;
  /** Index of the last usage window whose counts are final and saved on the node. */
  readonly usageSettledThrough: number;
}

/** A node's record in the store, written at each heartbeat. */
export interface NodeRecord extends NodeDescription {
  /** Interval between two of the node's heartbeats, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /**
   * Newest version of the store that the node knew when it sent the heartbeat, 0 before it knew one;
   * undefined if an earlier program sent it.
   */
  readonly storeVersion?: number | undefined;
}

/** A heartbeat that was read from the store. */
export interface HeartbeatRead {
  readonly record: NodeRecord;
  /** Monotonic time, in milliseconds, at which the read was sent. */
  readonly sentAt: number;
}

/** One node's use of engines, which it publishes to the other nodes. */
export interface EngineUseRecord {
  /** Number of running samples by engine. */
  readonly running: Readonly<Record<string, number>>;
  /**
   * Engine, model and version of each weight load that the node ordered recently, and the age of the
   * order in milliseconds; nodes of an earlier version publish no age.
   */
  readonly loads: ReadonlyArray<
    readonly [
      engine: string,
      model: string,
      version: number,
      ageMilliseconds?: number,
    ]
  >;
}
