// deno-lint-ignore-file explicit-function-return-type
import { once } from "node:events";
import { connect, createServer } from "node:net";

/**
 * Starts a proxy that passes the bytes of each channel on to an address. `silenceAtNextCall`
 * makes an open channel go silent for good in both directions, without a reset; new ones work.
 */
export async function startProxy(ip, target) {
  const channels = new Set();
  /** Which channel goes silent. */
  let chosen;
  const server = createServer((caller) => {
    const [host, port] = target.split(":");
    const upstream = connect(Number(port), host);
    const channel = { isSilent: false };
    channels.add(channel);
    for (const socket of [caller, upstream]) {
      socket.setNoDelay(true);
      socket.on("error", () => {});
    }
    caller.on("data", (bytes) => {
      if (channel.isSilent) return;
      const [line] = bytes.toString("latin1").split("\r\n", 1);
      if (chosen?.pattern.test(line)) {
        channel.isSilent = true;
        chosen.resolve(line);
        chosen = undefined;
      } else upstream.write(bytes);
    });
    upstream.on("data", (bytes) => {
      if (!channel.isSilent) caller.write(bytes);
    });
    caller.on("close", () => {
      channels.delete(channel);
      upstream.destroy();
    });
    upstream.on("close", () => {
      if (!channel.isSilent) caller.destroy();
    });
    channel.destroy = () => {
      caller.destroy();
      upstream.destroy();
    };
  });
  server.listen(0, ip);
  await once(server, "listening");
  return {
    address: `${ip}:${server.address().port}`,
    /** Silences the channel on which a call with a matching line is made next; returns this line. */
    silenceAtNextCall: (pattern) =>
      new Promise((resolve) => {
        chosen = { pattern, resolve };
      }),
    close: () => {
      for (const channel of channels) channel.destroy();
      server.close();
    },
  };
}
