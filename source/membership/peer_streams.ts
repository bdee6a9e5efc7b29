import { Code, ConnectError, createClient } from "@connectrpc/connect";
import {
  type Hello,
  type PeerMessage,
  PeerService,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import { createPeerConnection } from "./peer_connection.ts";
import type { PeerCandidate } from "./peer_choice.ts";
import { PeerSession, type PeerSessionOptions } from "./peer_session.ts";

/** Accepted streams for each stream that a node dials. */
const ACCEPTED_STREAMS_FACTOR = 4;
const SILENCE_RECHECK_MILLISECONDS = 50;

/** What all streams of a node share. */
export interface PeerStreamsOptions {
  readonly context: NodeContext;
  readonly store: PeerSessionOptions["store"];
  readonly freshness: PeerSessionOptions["freshness"];
  readonly feeds: PeerSessionOptions["feeds"];
  readonly hello: () => Hello;
}

/** Which side opened a stream. */
export type StreamSide = "dialled" | "accepted";

interface OpenStream {
  readonly side: StreamSide;
  readonly address: string;
  readonly session: PeerSession;
  /** Cuts the connection, never only the stream. */
  readonly cutConnection: () => void;
  /** Name of the other node; empty before its introduction. */
  node: string;
  nodeStart: string;
}

/** The long-lived streams of a node, one task each. */
export class PeerStreams {
  readonly #options: PeerStreamsOptions;
  readonly #open = new Set<OpenStream>();

  /** @param options - The node's state. */
  constructor(options: PeerStreamsOptions) {
    this.#options = options;
  }

  /** Number of streams on which the other side has introduced itself. */
  get established(): number {
    return [...this.#open].filter(({ node }) => node !== "").length;
  }

  /** Returns whether a stream to a node is open or being opened. */
  has(node: string, side: StreamSide): boolean {
    return [...this.#open].some((stream) =>
      stream.side === side && stream.node === node
    );
  }

  /** Returns whether a stream to an address is open or being opened. */
  isDialled(address: string): boolean {
    return [...this.#open].some((stream) =>
      stream.side === "dialled" && stream.address === address
    );
  }

  /** Cuts the dialled streams to addresses for which the test is true. */
  cutDialled(test: (address: string, node: string) => boolean): void {
    for (const stream of this.#open) {
      if (stream.side !== "dialled") continue;
      if (!test(stream.address, stream.node)) continue;
      this.#close(stream, "not needed any more");
    }
  }

  /** Cuts all streams. */
  cutAll(): void {
    for (const stream of this.#open) this.#close(stream, "node is stopping");
  }

  /**
   * Keeps one stream on a new connection until it ends.
   * @returns How long the other side was established, in milliseconds; 0 when it never was.
   */
  async dial(candidate: PeerCandidate): Promise<number> {
    const { clock, settings } = this.#options.context;
    const connection = createPeerConnection({
      address: candidate.peerAddress,
      secret: settings.peerSecret,
    });
    const stream = this.#create(
      "dialled",
      candidate.peerAddress,
      () => connection.close(),
    );
    const silence = this.#cutWhenSilent(stream);
    const startedAt = clock.monotonic();
    let reason = "ended by the peer";
    try {
      const client = createClient(PeerService, connection.transport);
      const answers = client.exchange(stream.session.messages());
      for await (const message of answers) stream.session.receive(message);
    } catch (error) {
      reason = describe(error);
    } finally {
      this.#close(stream, reason);
    }
    await silence;
    return stream.node === "" ? 0 : clock.monotonic() - startedAt;
  }

  /** Serves one stream that another node dialled. */
  async *accept(
    requests: AsyncIterable<PeerMessage>,
    options: AcceptOptions,
  ): AsyncGenerator<PeerMessage> {
    this.#refuseWhenFull();
    const stream = this.#create(
      "accepted",
      options.address,
      options.cutConnection,
    );
    void this.#cutWhenSilent(stream);
    const reading = readAll(requests, stream.session);
    try {
      yield* stream.session.messages();
    } finally {
      this.#close(stream, "stream ended");
    }
    await reading;
  }

  #refuseWhenFull(): void {
    const accepted = [...this.#open].filter(({ side }) => side === "accepted");
    const maximum = ACCEPTED_STREAMS_FACTOR *
      this.#options.context.settings.peerStreams;
    if (accepted.length < maximum) return;
    throw new ConnectError(
      `This node keeps ${maximum} streams already`,
      Code.ResourceExhausted,
    );
  }

  #create(
    side: StreamSide,
    address: string,
    cutConnection: () => void,
  ): OpenStream {
    const { context, store, freshness, feeds, hello } = this.#options;
    const session = new PeerSession({
      store,
      freshness,
      feeds,
      clock: context.clock,
      heartbeatMilliseconds: context.settings.heartbeatMilliseconds,
      hello,
      onHello: (other) => this.#introduce(stream, other),
    });
    const stream: OpenStream = {
      side,
      address,
      session,
      cutConnection,
      node: "",
      nodeStart: "",
    };
    this.#open.add(stream);
    return stream;
  }

  #introduce(stream: OpenStream, { node, nodeStart }: Hello): void {
    const { context } = this.#options;
    if (nodeStart === context.nodeStart || node === "") {
      this.#close(stream, "not another node");
      return;
    }
    stream.node = node;
    stream.nodeStart = nodeStart;
    const { address, side } = stream;
    context.log.emit("peerStreamOpened", { peer: node, address, side });
  }

  /** Counts the stream as gone at once, whatever still waits on its connection. */
  #close(stream: OpenStream, reason: string): void {
    if (!this.#open.delete(stream)) return;
    stream.session.end();
    stream.cutConnection();
    const { address, side } = stream;
    this.#options.context.log.emit("peerStreamClosed", {
      address,
      side,
      reason,
    });
  }

  /** Watches a stream until it is closed; a silent one is cut with its connection. */
  async #cutWhenSilent(stream: OpenStream): Promise<void> {
    const { clock, settings, log, stopping } = this.#options.context;
    while (this.#open.has(stream)) {
      await clock.sleep(settings.heartbeatMilliseconds / 2, stopping);
      if (stopping.aborted) return this.#close(stream, "node is stopping");
      if (!this.#isSilent(stream)) continue;
      // A stalled event loop runs timers before it reads what has arrived meanwhile.
      await clock.sleep(SILENCE_RECHECK_MILLISECONDS, stopping);
      if (!this.#isSilent(stream)) continue;
      log.emit("peerStreamSilent", {
        address: stream.address,
        silentMilliseconds: Math.round(stream.session.silentMilliseconds),
      });
      return this.#close(stream, "silent");
    }
  }

  #isSilent(stream: OpenStream): boolean {
    const limit = this.#options.context.settings.silenceMilliseconds;
    return this.#open.has(stream) && stream.session.silentMilliseconds > limit;
  }
}

/** What is known of the side that dialled. */
export interface AcceptOptions {
  /** Where it dialled from. */
  readonly address: string;
  /** Cuts its connection. */
  readonly cutConnection: () => void;
}

async function readAll(
  requests: AsyncIterable<PeerMessage>,
  session: PeerSession,
): Promise<void> {
  try {
    for await (const message of requests) session.receive(message);
  } catch {
    // The reason stands in the dialling side's log.
  } finally {
    session.end();
  }
}

function describe(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
