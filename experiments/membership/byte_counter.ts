import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Bytes that sockets transferred, without the headers of TCP and IP. */
export interface SocketBytes {
  readonly received: number;
  readonly sent: number;
}

/** Counts the bytes of all sockets that the process opens or accepts after its creation. */
export class ByteCounter {
  readonly #open = new Set<Socket>();
  #received = 0;
  #sent = 0;

  constructor() {
    for (const channel of ["net.client.socket", "net.server.socket"]) {
      subscribe(channel, (message) => {
        this.#add((message as { readonly socket: Socket }).socket);
      });
    }
  }

  /** Returns the bytes transferred so far. */
  read(): SocketBytes {
    let received = this.#received;
    let sent = this.#sent;
    for (const socket of this.#open) {
      received += socket.bytesRead;
      sent += socket.bytesWritten;
    }
    return { received, sent };
  }

  #add(socket: Socket): void {
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#received += socket.bytesRead;
      this.#sent += socket.bytesWritten;
    });
  }
}
