/** Waiting and recent work of an organisation in a service at one node. */
export interface WorkEntry {
  /** Rank after ageing; a lower one goes first. */
  readonly level: number;
  /** Short name of the organisation, see `toShortName`. */
  readonly organisation: string;
  /** Number of requests that wait at the node. */
  readonly waiting: number;
  /** Recent use by requests that the node let through, also those that run, in slot milliseconds. */
  readonly use: number;
}

/** What waits and runs at a node, which it publishes while something waits. */
export interface WorkRecord {
  /** Changes with each heartbeat, so that a heartbeat that stays away is noticed. */
  readonly sequence: number;
  readonly services: ReadonlyMap<string, ReadonlyArray<WorkEntry>>;
}

/**
 * A record as it is stored: the sequence, and for each service its entries. Uses are in units of
 * 100 ms.
 */
export type WorkTuple = readonly [
  sequence: number,
  ...services: ReadonlyArray<
    readonly [
      service: string,
      ...entries: ReadonlyArray<
        readonly [
          level: number,
          organisation: string,
          waiting: number,
          use: number,
        ]
      >,
    ]
  >,
];

/** Slot time of one unit of the stored use. */
const USE_UNIT_MILLISECONDS = 100;

/** Returns a record as it is stored. */
export function toWorkTuple({ sequence, services }: WorkRecord): WorkTuple {
  return [
    sequence,
    ...[...services].map(([service, entries]) =>
      [
        service,
        ...entries.map(({ level, organisation, waiting, use }) =>
          [
            level,
            organisation,
            waiting,
            Math.round(use / USE_UNIT_MILLISECONDS),
          ] as const
        ),
      ] as const
    ),
  ];
}

/**
 * Returns a stored record; undefined when the node published none or one of another form, which must
 * not make the rest of its row unreadable.
 */
export function fromWorkTuple(tuple: unknown): WorkRecord | undefined {
  if (!Array.isArray(tuple)) return undefined;
  const [sequence, ...rows] = tuple as ReadonlyArray<unknown>;
  if (typeof sequence !== "number") return undefined;
  const services = new Map<string, ReadonlyArray<WorkEntry>>();
  for (const row of rows) {
    if (!Array.isArray(row)) return undefined;
    const [service, ...values] = row as ReadonlyArray<unknown>;
    const entries = values.map(toEntry);
    if (typeof service !== "string") return undefined;
    services.set(service, entries.flatMap((entry) => entry ?? []));
  }
  return { sequence, services };
}

function toEntry(value: unknown): WorkEntry | undefined {
  if (!Array.isArray(value)) return undefined;
  const [level, organisation, waiting, use] = value as ReadonlyArray<unknown>;
  const isEntry = typeof organisation === "string" &&
    [level, waiting, use].every((each) => Number.isFinite(each));
  if (!isEntry) return undefined;
  return {
    level: Number(level),
    organisation,
    waiting: Number(waiting),
    use: Number(use) * USE_UNIT_MILLISECONDS,
  };
}
