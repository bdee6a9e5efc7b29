import { command, flag, number, option, string } from "cmd-ts";
import type { ServerOrder } from "../../source/platform/orders_client.ts";
import { startEngine } from "../engine/start_engine.ts";
import { startPlainService } from "../plain_service/start_plain_service.ts";
import { serveUntilTerminated } from "../utilities/serve_until_terminated.ts";
import type { StartedServer } from "./order_processor.ts";
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

/** Runs a platform stand-in until the process is terminated. */
export const PLATFORM_COMMAND = command({
  name: "platform",
  description:
    "Serves the platform's table, objects, orders, usage reports and list of instances",
  args: {
    port: option({
      type: number,
      long: "port",
      defaultValue: () => 0,
      description: "Port on loopback; 0 for a free port",
    }),
    latency: option({
      type: number,
      long: "latency-milliseconds",
      defaultValue: () => 0,
      description: "One-way latency between caller and stand-in",
    }),
    listLag: option({
      type: number,
      long: "list-lag-milliseconds",
      defaultValue: () => 1000,
      description: "Delay before a change is visible in the list of instances",
    }),
    startDelay: option({
      type: number,
      long: "start-delay-milliseconds",
      defaultValue: () => 0,
      description: "Delay between an order and the listing of its server",
    }),
    weightBytes: option({
      type: number,
      long: "weight-bytes",
      defaultValue: () => 1_000_000,
      description: "Size of each weight version",
    }),
    weightBytesPerSecond: option({
      type: number,
      long: "weight-bytes-per-second",
      defaultValue: () => 0,
      description: "Rate limit shared by all weight downloads; 0 for no limit",
    }),
    startEngines: flag({
      long: "start-engines",
      description:
        "Start a backend server in this process for each order; otherwise every start order gets noCapacity",
    }),
    plainServices: option({
      type: string,
      long: "plain-services",
      defaultValue: () => "",
      description:
        "Comma-separated services whose backend servers are plain services instead of engines",
    }),
    ignoresFencing: flag({
      long: "ignores-fencing",
      description: "Accept orders with a stale fencing number",
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
      ? startPlainServer()
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

async function startPlainServer(): Promise<StartedServer> {
  const service = await startPlainService();
  return {
    address: service.address,
    markLeaving: () => service.markLeaving(),
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
    markLeaving: () => engine.markLeaving(),
    close: () => engine.close(),
  };
}
