/** What a node tells of itself. */
export interface NodeRecord {
  /** Name of the node. */
  readonly node: string;
  /** Identity of its process, new at each start; it names the node. */
  readonly nodeStart: string;
  readonly failureDomain: string;
  /** Processor that it may use, in cores of the usual speed. */
  readonly processorShare: number;
  /** HOST:PORT for callers. */
  readonly callerAddress: string;
  /** Whether new callers should be sent there. */
  readonly isServing: boolean;
  /** Time between two of its signs, in milliseconds. */
  readonly signMilliseconds: number;
  /** What it runs and ordered at engines; undefined when nothing. */
  readonly engineUse: EngineUseRecord | undefined;
}

/** What one node tells the others of engines. */
export interface EngineUseRecord {
  /** Running samples by engine. */
  readonly running: Readonly<Record<string, number>>;
  /** Loads that it ordered lately: engine, model, version. */
  readonly loads: ReadonlyArray<readonly [string, string, number]>;
}
