import { connect, type Socket } from "node:net";

/** What each client of a crowd sends, and how. */
export interface CrowdPlan {
  /** HOST:PORT that the clients connect to. */
  readonly address: string;
  readonly clients: number;
  /** First bytes of each client; empty for none. */
  readonly head: string;
  /** Bytes that follow, which are repeated. */
  readonly part: Buffer;
  /** Number of these parts that each client sends. */
  readonly parts: number;
}

/** Clients whose connections stay open. */
export interface ClientCrowd {
  /** Resolves when no client gets any further: each has sent all, was closed or is not read. */
  readonly settled: Promise<void>;
  /** Number of connections that are still open. */
  readonly open: number;
  readonly close: () => void;
}

/** Interval at which a crowd's progress is looked at. */
const CHECK_MILLISECONDS = 500;
/** Number of looks without progress after which a crowd counts as settled. */
const QUIET_CHECKS = 4;
/** Number of looks after which a crowd counts as settled even if it still makes progress. */
const MAXIMUM_CHECKS = 40;

/**
 * Starts clients that send without reading the answers, each as fast as it is read, and that stay
 * connected.
 * @example
 * ```ts
 * const crowd = startClientCrowd({ address, clients: 20, head, part: Buffer.from("1\r\nx\r\n"), parts: 9 });
 * await crowd.settled;
 * ```
 */
export function startClientCrowd(plan: CrowdPlan): ClientCrowd {
  const progress = { sent: 0 };
  const sockets = Array.from(
    { length: plan.clients },
    () => startClient(plan, progress),
  );
  const isOpen = (socket: Socket): boolean => !socket.destroyed;
  return {
    settled: waitUntilQuiet(progress),
    get open() {
      return sockets.filter(isOpen).length;
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}

function startClient(
  { address, head, part, parts }: CrowdPlan,
  progress: { sent: number },
): Socket {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.pause();
  socket.on("error", () => {});
  let remaining = parts;
  const send = (): void => {
    while (remaining > 0 && !socket.destroyed) {
      remaining -= 1;
      progress.sent += 1;
      if (!socket.write(part)) return;
    }
  };
  socket.on("connect", () => {
    progress.sent += 1;
    if (head !== "") socket.write(head);
    send();
  });
  socket.on("drain", send);
  return socket;
}

async function waitUntilQuiet(progress: { sent: number }): Promise<void> {
  let quiet = 0;
  for (
    let check = 0;
    check < MAXIMUM_CHECKS && quiet < QUIET_CHECKS;
    check += 1
  ) {
    const before = progress.sent;
    await new Promise((resolve) => setTimeout(resolve, CHECK_MILLISECONDS));
    quiet = progress.sent === before ? quiet + 1 : 0;
  }
}
