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

/** Maximum number of accepted streams, as a multiple of the setting `peerStreams`. */
const ACCEPTED_STREAMS_FACTOR = 4;
const SILENCE_RECHECK_MILLISECONDS = 50;

/** Options of the peer streams of a node. */
export interface PeerStreamsOptions {
  readonly context: NodeContext;
  readonly store: PeerSessionOptions["store"];
  readonly freshness: PeerSessionOptions["freshness"];
  readonly feeds: PeerSessionOptions["feeds"];
  readonly hello: () => Hello;
}

/** Whether this node dialled or accepted a stream. */
export type StreamSide = "dialled" | "accepted";

interface OpenStream {
  readonly side: StreamSide;
  readonly address: string;
  readonly session: PeerSession;
  /** Closes the whole connection, not only the stream. */
  readonly closeConnection: () => void;
  /** Name of the other node; empty until its hello is received. */
  node: string;
  nodeStart: string;
}

/** Runs the long-lived peer streams of a node, each in a task. */
export class PeerStreams {
  readonly #options: PeerStreamsOptions;
  readonly #streams = new Set<OpenStream>();

  /** @param options - Context and state of the node. */
  constructor(options: PeerStreamsOptions) {
    this.#options = options;
  }

  /** Number of streams on which the hello of the other side was received. */
  get established(): number {
    return [...this.#streams].filter(({ node }) => node !== "").length;
  }

  /**
   * Returns whether there is an established stream to a node that this node dialled or accepted, as
   * `side` says.
   */
  has(node: string, side: StreamSide): boolean {
    return [...this.#streams].some((stream) =>
      stream.side === side && stream.node === node
    );
  }

  /** Returns whether a dialled stream to an address is open or being opened. */
  isDialled(address: string): boolean {
    return [...this.#streams].some((stream) =>
      stream.side === "dialled" && stream.address === address
    );
  }

  /** Closes the dialled streams for whose address and node the test returns true. */
  closeDialled(test: (address: string, node: string) => boolean): void {
    for (const stream of this.#streams) {
      if (stream.side !== "dialled") continue;
      if (!test(stream.address, stream.node)) continue;
      this.#close(stream, "no longer needed");
    }
  }

  /** Closes all streams. */
  closeAll(): void {
    for (const stream of this.#streams) this.#close(stream, "node is stopping");
  }

  /**
   * Opens a stream on a new connection and runs it until it ends.
   * @returns Duration of the stream, in milliseconds; 0 when the hello of the other side was never received.
   */
  async dial(candidate: PeerCandidate): Promise<number> {
    const { clock, settings } = this.#options.context;
    const connection = createPeerConnection({
      address: candidate.peerAddress,
      secret: settings.peerSecret,
    });
    const stream = this.#createStream(
      "dialled",
      candidate.peerAddress,
      () => connection.close(),
    );
    const silenceMonitor = this.#closeWhenSilent(stream);
    const startedAt = clock.monotonic();
    let reason = "ended by the peer";
    try {
      const client = createClient(PeerService, connection.transport);
      const messages = client.exchange(stream.session.messages());
      for await (const message of messages) stream.session.receive(message);
    } catch (error) {
      reason = describeError(error);
    } finally {
      this.#close(stream, reason);
    }
    await silenceMonitor;
    return stream.node === "" ? 0 : clock.monotonic() - startedAt;
  }

  /** Runs a stream that another node dialled until it ends. */
  async *accept(
    requests: AsyncIterable<PeerMessage>,
    options: AcceptOptions,
  ): AsyncGenerator<PeerMessage> {
    this.#rejectWhenFull();
    const stream = this.#createStream(
      "accepted",
      options.address,
      options.closeConnection,
    );
    void this.#closeWhenSilent(stream);
    const reading = readAll(requests, stream.session);
    try {
      yield* stream.session.messages();
    } finally {
      this.#close(stream, "stream ended");
    }
    await reading;
  }

  #rejectWhenFull(): void {
    const accepted = [...this.#streams].filter(({ side }) =>
      side === "accepted"
    );
    const maximum = ACCEPTED_STREAMS_FACTOR *
      this.#options.context.settings.peerStreams;
    if (accepted.length < maximum) return;
    throw new ConnectError(
      `This node already has the maximum of ${maximum} accepted peer streams`,
      Code.ResourceExhausted,
    );
  }

  #createStream(
    side: StreamSide,
    address: string,
    closeConnection: () => void,
  ): OpenStream {
    const { context, store, freshness, feeds, hello } = this.#options;
    const session = new PeerSession({
      store,
      freshness,
      feeds,
      clock: context.clock,
      heartbeatMilliseconds: context.settings.heartbeatMilliseconds,
      hello,
      onHello: (other) => this.#handleHello(stream, other),
    });
    const stream: OpenStream = {
      side,
      address,
      session,
      closeConnection,
      node: "",
      nodeStart: "",
    };
    this.#streams.add(stream);
    return stream;
  }

  #handleHello(stream: OpenStream, { node, nodeStart }: Hello): void {
    const { context } = this.#options;
    if (nodeStart === context.nodeStart || node === "") {
      this.#close(stream, "peer is this node or has no name");
      return;
    }
    stream.node = node;
    stream.nodeStart = nodeStart;
    const { address, side } = stream;
    context.log.emit("peerStreamOpened", { peer: node, address, side });
  }

  /** Removes the stream at once and closes its connection, even if operations on it are pending. */
  #close(stream: OpenStream, reason: string): void {
    if (!this.#streams.delete(stream)) return;
    stream.session.end();
    stream.closeConnection();
    const { address, side } = stream;
    this.#options.context.log.emit("peerStreamClosed", {
      address,
      side,
      reason,
    });
  }

  /** Monitors a stream until it is closed; closes it with its connection when it is silent for too long. */
  async #closeWhenSilent(stream: OpenStream): Promise<void> {
    const { clock, settings, log, stopping } = this.#options.context;
    while (this.#streams.has(stream)) {
      await clock.sleep(settings.heartbeatMilliseconds / 2, stopping);
      if (stopping.aborted) return this.#close(stream, "node is stopping");
      if (!this.#isSilent(stream)) continue;
      // After a stall, the event loop runs timers before it reads the data that arrived during the stall.
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
    return this.#streams.has(stream) &&
      stream.session.silentMilliseconds > limit;
  }
}

/** Properties of the connection of an accepted stream. */
export interface AcceptOptions {
  /** Address of the node that dialled. */
  readonly address: string;
  /** Closes the connection. */
  readonly closeConnection: () => void;
}

async function readAll(
  requests: AsyncIterable<PeerMessage>,
  session: PeerSession,
): Promise<void> {
  try {
    for await (const message of requests) session.receive(message);
  } catch {
    // The dialling side logs the reason.
  } finally {
    session.end();
  }
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
