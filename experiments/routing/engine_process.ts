import {
  type StartedEngine,
  startEngine,
} from "../../stand_ins/engine/start_engine.ts";
import type { ChildMessage, EngineCommand, EngineStart } from "./messages.ts";

const starts: EngineStart[] = [];
const engines: StartedEngine[] = [];

function sendToParent(message: ChildMessage): void {
  process.send?.(message);
}

async function start(engineStarts: ReadonlyArray<EngineStart>): Promise<void> {
  for (const each of engineStarts) {
    starts.push(each);
    engines.push(await startEngine(each.options));
  }
  sendToParent({
    kind: "started",
    engines: engines.map(({ address }, index) => ({
      address,
      failureDomain: starts[index]!.failureDomain,
    })),
  });
}

async function restart(index: number): Promise<void> {
  const port = Number(engines[index]!.address.split(":")[1]);
  engines[index] = await startEngine({ ...starts[index]!.options, port });
}

async function handleCommand(command: EngineCommand): Promise<void> {
  if (command.kind === "start") await start(command.engines);
  if (command.kind === "behave") {
    engines[command.index]!.changeBehaviour(command.options);
  }
  if (command.kind === "stop") await engines[command.index]!.close();
  if (command.kind === "restart") await restart(command.index);
}

process.on(
  "message",
  (command) => void handleCommand(command as EngineCommand),
);
process.on("disconnect", () => process.exit(0));
sendToParent({ kind: "ready" });
