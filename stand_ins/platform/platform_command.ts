import { command, flag, number, option, string } from "cmd-ts";
import type { ServerOrder } from "../../source/platform/orders_client.ts";
import { startEngine } from "../engine/start_engine.ts";
import { startPlainService } from "../plain_service/start_plain_service.ts";
import { serveUntilTerminated } from "../utilities/serve_until_terminated.ts";
import type { StartedServer } from "./order_book.ts";
import { type RunningPlatform, startPlatform } from "./start_platform.ts";

interface PlatformSettings {
  readonly port: number;
  readonly latency: number;
  readonly listLag: number;
  readonly startDelay: number;
  readonly weightBytes: number;
  readonly weightBytesPerSecond: number;
  readonly startEngines: boolean;
  readonly plainServices: string;
  readonly ignoresFencing: boolean;
}

/** Starts a stand-in of the platform as a process of its own. */
export const PLATFORM_COMMAND = command({
  name: "platform",
  description: "Table, objects, orders, usage reports and list of instances",
  args: {
    port: option({
      type: number,
      long: "port",
      defaultValue: () => 0,
      description: "Port on loopback; 0 for a free one",
    }),
    latency: option({
      type: number,
      long: "latency-milliseconds",
      defaultValue: () => 0,
      description: "One way, between caller and stand-in",
    }),
    listLag: option({
      type: number,
      long: "list-lag-milliseconds",
      defaultValue: () => 1000,
      description: "How far the list of instances is behind",
    }),
    startDelay: option({
      type: number,
      long: "start-delay-milliseconds",
      defaultValue: () => 0,
      description: "From an order until the server is listed",
    }),
    weightBytes: option({
      type: number,
      long: "weight-bytes",
      defaultValue: () => 1_000_000,
      description: "Size of every weight version",
    }),
    weightBytesPerSecond: option({
      type: number,
      long: "weight-bytes-per-second",
      defaultValue: () => 0,
      description:
        "Rate of the weight store over all downloads; 0 for no limit",
    }),
    startEngines: flag({
      long: "start-engines",
      description:
        "Start a backend server in this process for each order; else none can be had",
    }),
    plainServices: option({
      type: string,
      long: "plain-services",
      defaultValue: () => "",
      description:
        "Services, with commas between, whose servers are no engines",
    }),
    ignoresFencing: flag({
      long: "ignores-fencing",
      description: "Take orders with an old fencing number",
    }),
  },
  handler: (settings) => serveUntilTerminated(startFromSettings(settings)),
});

async function startFromSettings(
  settings: PlatformSettings,
): Promise<RunningPlatform> {
  const plainServices = settings.plainServices.split(",");
  let weightStoreAddress = "";
  const startServer = (order: ServerOrder): Promise<StartedServer> =>
    plainServices.includes(order.service)
      ? startPlain()
      : startModelEngine(weightStoreAddress, settings);
  const platform = await startPlatform({
    port: settings.port,
    latencyMilliseconds: settings.latency,
    listLagMilliseconds: settings.listLag,
    startDelayMilliseconds: settings.startDelay,
    weightBytes: settings.weightBytes,
    weightBytesPerSecond: settings.weightBytesPerSecond,
    checksFencing: !settings.ignoresFencing,
    ...(settings.startEngines ? { startServer } : { capacity: () => 0 }),
  });
  weightStoreAddress = `http://${platform.address}`;
  return platform;
}

async function startPlain(): Promise<StartedServer> {
  const service = await startPlainService();
  return {
    address: service.address,
    markLeaving: () => service.leave(),
    close: () => service.close(),
  };
}

async function startModelEngine(
  weightStoreAddress: string,
  settings: PlatformSettings,
): Promise<StartedServer> {
  const engine = await startEngine({
    weightStoreAddress,
    checksFencing: !settings.ignoresFencing,
  });
  return {
    address: engine.address,
    markLeaving: () => engine.leave(),
    close: () => engine.close(),
  };
}
