import { HttpEngineClient } from "../../source/backends/http_engine_client.ts";
import { HttpPlainClient } from "../../source/backends/http_plain_client.ts";
import {
  createDispatcher,
  type NodeDispatcher,
} from "../../source/dispatch/create_dispatcher.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import {
  createTestContext,
  NO_CONFIGURATION,
} from "../../stand_ins/dispatch/dispatch_bench.ts";
import { LoadGenerator } from "./load_generator.ts";
import type { ChildMessage, DispatcherCommand, NodeStart } from "./messages.ts";
import { EngineLoadPoller, PolledServerView } from "./polled_server_view.ts";

type RunCommand = Extract<DispatcherCommand, { readonly kind: "run" }>;
type RunningByServer = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

const PUBLISH_INTERVAL_MILLISECONDS = 500;
const clock = new SystemClock();
let runningByServer: RunningByServer = {};

function sendToParent(message: ChildMessage): void {
  process.send?.(message);
}

function getRunningOnPeers(address: string, node: string): number {
  return Object.entries(runningByServer[address] ?? {})
    .filter(([name]) => name !== node)
    .reduce((sum, [, running]) => sum + running, 0);
}

async function run(command: RunCommand): Promise<void> {
  const stopping = new AbortController();
  const client = new HttpEngineClient({ clock });
  const reports = new EngineLoadPoller(client, clock);
  const random = createRandomSource(command.seed);
  const background = command.engines.map(({ address }) =>
    reports.poll(address, { random, stopping: stopping.signal })
  );
  const dispatchers = new Map(
    command.nodes.map((node, index) => [
      node.name,
      startDispatcher(node, { command, client, reports, index, stopping }),
    ]),
  );
  if (command.readsCacheEvents) {
    for (const dispatcher of dispatchers.values()) {
      background.push(dispatcher.run());
    }
  }
  background.push(publishRunning(dispatchers, command, stopping.signal));
  const result = await new LoadGenerator({
    dispatchers: [...dispatchers.values()],
    load: command.load,
    clock,
    random,
    name: command.nodes[0]?.name ?? "",
  }).run();
  stopping.abort();
  await Promise.all(background);
  await client.close();
  sendToParent({ kind: "result", result });
}

function startDispatcher(
  node: NodeStart,
  { command, client, reports, index, stopping }: {
    readonly command: RunCommand;
    readonly client: HttpEngineClient;
    readonly reports: EngineLoadPoller;
    readonly index: number;
    readonly stopping: AbortController;
  },
): NodeDispatcher {
  const seed = command.seed * 100 + index;
  const { failureDomain } = node;
  const context = {
    ...createTestContext({ seed, failureDomain }),
    stopping: stopping.signal,
  };
  const servers = new PolledServerView(command.engines, {
    reports,
    clock,
    getRunningOnPeers: (address) => getRunningOnPeers(address, node.name),
  });
  return createDispatcher({
    context,
    servers,
    engines: client,
    plainServices: new HttpPlainClient({ clock }),
    configuration: NO_CONFIGURATION,
    routingPolicy: command.policy,
    retryBudget: command.retryBudget,
  });
}

async function publishRunning(
  dispatchers: ReadonlyMap<string, NodeDispatcher>,
  command: RunCommand,
  stopping: AbortSignal,
): Promise<void> {
  while (!stopping.aborted) {
    const running = Object.fromEntries(
      command.engines.map(({ address }) => [
        address,
        Object.fromEntries(
          [...dispatchers].map((
            [name, dispatcher],
          ) => [name, dispatcher.runningAt(address)]),
        ),
      ]),
    );
    sendToParent({ kind: "running", running });
    await clock.sleep(PUBLISH_INTERVAL_MILLISECONDS, stopping);
  }
}

process.on("message", (message) => {
  const command = message as DispatcherCommand;
  if (command.kind === "run") void run(command);
  else runningByServer = command.running;
});
process.on("disconnect", () => process.exit(0));
sendToParent({ kind: "ready" });
