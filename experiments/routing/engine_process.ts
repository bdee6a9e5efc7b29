import {
  type StartedEngine,
  startEngine,
} from "../../stand_ins/engine/start_engine.ts";
import type { ChildMessage, EngineCommand, EngineStart } from "./messages.ts";

const starts: EngineStart[] = [];
const engines: StartedEngine[] = [];

function tell(message: ChildMessage): void {
  process.send?.(message);
}

async function start(given: ReadonlyArray<EngineStart>): Promise<void> {
  for (const each of given) {
    starts.push(each);
    engines.push(await startEngine(each.options));
  }
  tell({
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

async function obey(command: EngineCommand): Promise<void> {
  if (command.kind === "start") await start(command.engines);
  if (command.kind === "behave") {
    engines[command.index]!.behave(command.options);
  }
  if (command.kind === "stop") await engines[command.index]!.close();
  if (command.kind === "restart") await restart(command.index);
}

process.on("message", (command) => void obey(command as EngineCommand));
process.on("disconnect", () => process.exit(0));
tell({ kind: "ready" });
