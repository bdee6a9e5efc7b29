import {
  decideStreamContinuation,
  type StreamOriginFinding,
} from "../../source/decisions/stream_continuation.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";

const SERVICE = "s";
/** Time for which a node remembers the software versions that it saw. */
const SEEN_MILLISECONDS = 60_000;

/** Nodes, engines and load of the model; times in milliseconds. */
export interface StreamModelOptions {
  readonly seed: number;
  readonly nodes: number;
  /** Streams that begin between 0 and `interruptedAt`. */
  readonly streams: number;
  /** Time at which some nodes are killed and callers take all their streams up elsewhere. */
  readonly interruptedAt: number;
  readonly killedShare: number;
  /** Time since which engines of a second version serve. */
  readonly releasedAt: number;
  /** Time since which engines of the first version serve no more; undefined if they go on. */
  readonly removedAt?: number;
  /** Times between which the store does not answer. */
  readonly storeOutage?: readonly [from: number, to: number];
  /** Time since which the nodes follow the entries of engines. */
  readonly followedSince: number;
  /** Decides where a stream goes on; `decideStreamContinuation` if absent. */
  readonly decide?: typeof decideStreamContinuation;
}

/** The outcome of a modelled load. */
export interface StreamModelOutcome {
  /** Number of streams that callers took up. */
  readonly takenUp: number;
  /** Number of those that went on. */
  readonly continued: number;
  /** Number of those that went on at another version than the one that began them. */
  readonly mixed: number;
}

interface ModelStream {
  readonly identifier: string;
  readonly node: number;
  readonly version: string;
}

/** Runs many callers that take up their streams at the same time, after nodes were killed. */
export function runStreamModel(
  options: StreamModelOptions,
): StreamModelOutcome {
  const random = createRandomSource(options.seed);
  const stored = new Map<string, string>();
  const remembered = Array.from(
    { length: options.nodes },
    () => new Map<string, string>(),
  );
  const streams: ModelStream[] = [];
  for (let index = 0; index < options.streams; index += 1) {
    const at = random.next() * options.interruptedAt;
    const versions = listServing(options, at);
    const version = versions[random.nextBelow(versions.length)] ?? "";
    const stream = {
      identifier: `q${index}`,
      node: random.nextBelow(options.nodes),
      version,
    };
    streams.push(stream);
    remembered[stream.node]?.set(stream.identifier, version);
    if (!isStoreOut(options, at)) stored.set(stream.identifier, version);
  }
  const killed = new Set(
    [...remembered.keys()].filter(() => random.next() < options.killedShare),
  );
  const outcome = { takenUp: 0, continued: 0, mixed: 0 };
  for (const stream of streams) {
    const node = random.nextBelow(options.nodes);
    if (!killed.has(stream.node) || killed.has(node)) continue;
    outcome.takenUp += 1;
    const finding = find(stream, {
      memory: remembered[node] ?? new Map(),
      stored,
      isStoreOut: isStoreOut(options, options.interruptedAt),
    });
    const version = continueStream(options, finding);
    if (version === undefined) continue;
    outcome.continued += 1;
    if (version !== stream.version) outcome.mixed += 1;
  }
  return outcome;
}

function continueStream(
  options: StreamModelOptions,
  finding: StreamOriginFinding,
): string | undefined {
  const { interruptedAt, followedSince } = options;
  const decide = options.decide ?? decideStreamContinuation;
  const continuation = decide(finding, {
    services: [SERVICE],
    isOriginDoubtful: false,
    serving: () => new Set(listServing(options, interruptedAt)),
    seen: () =>
      followedSince > interruptedAt - SEEN_MILLISECONDS
        ? undefined
        : listSeen(options),
  });
  return continuation.kind === "continue"
    ? continuation.origin.softwareVersion
    : undefined;
}

function find(
  { identifier }: ModelStream,
  { memory, stored, isStoreOut }: {
    readonly memory: ReadonlyMap<string, string>;
    readonly stored: ReadonlyMap<string, string>;
    readonly isStoreOut: boolean;
  },
): StreamOriginFinding {
  const softwareVersion = memory.get(identifier) ??
    (isStoreOut ? undefined : stored.get(identifier));
  if (softwareVersion !== undefined) {
    return {
      kind: "found",
      origin: { service: SERVICE, softwareVersion, server: undefined },
    };
  }
  return { kind: isStoreOut ? "unreadable" : "absent" };
}

function listServing(
  { releasedAt, removedAt = Infinity }: StreamModelOptions,
  at: number,
): ReadonlyArray<string> {
  return [
    ...(at < removedAt ? ["v1"] : []),
    ...(at >= releasedAt ? ["v2"] : []),
  ];
}

function listSeen(options: StreamModelOptions): ReadonlySet<string> {
  const { interruptedAt } = options;
  const since = interruptedAt - SEEN_MILLISECONDS;
  return new Set([
    ...listServing(options, since),
    ...listServing(options, interruptedAt),
    ...(options.releasedAt > since && options.releasedAt <= interruptedAt
      ? ["v2"]
      : []),
  ]);
}

function isStoreOut(
  { storeOutage }: StreamModelOptions,
  at: number,
): boolean {
  return storeOutage !== undefined && at >= storeOutage[0] &&
    at < storeOutage[1];
}
