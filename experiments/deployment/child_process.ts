import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { createInterface } from "node:readline";

const START_TIMEOUT_MILLISECONDS = 20_000;
const MAXIMUM_LOG_LINES = 40;

/** Options for starting a process. */
export interface StartOptions {
  readonly name: string;
  /** Path of the program. */
  readonly program: string;
  readonly arguments: ReadonlyArray<string>;
  /** Flags of Node.js. */
  readonly runtimeFlags?: ReadonlyArray<string>;
  /** File for the log; undefined keeps only the newest lines in memory. */
  readonly logFile?: string;
  /** Prefix of the line on standard output that the process writes when it is ready. */
  readonly readyPrefix: string;
}

/** A process of a deployment. */
export interface RunningProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Rest of the line that the process wrote when it was ready. */
  readonly ready: string;
  /** Newest lines of the log. */
  readonly lines: ReadonlyArray<string>;
  /** Sends a signal, waits until the process has ended and returns its exit status. */
  end(signal: NodeJS.Signals): Promise<number | null>;
}

/**
 * Starts a process and waits until it is ready.
 * @param options - Program, arguments and log of the process.
 * @throws When the process ends before it is ready, or is not ready in time.
 * @example
 * ```ts
 * const platform = await startProcess({
 *   name: "platform",
 *   program: "build/bin/snipepath-stand-in.mjs",
 *   arguments: ["platform"],
 *   readyPrefix: "listening ",
 * });
 * ```
 */
export async function startProcess(
  options: StartOptions,
): Promise<RunningProcess> {
  const child = spawn(process.execPath, [
    ...options.runtimeFlags ?? [],
    options.program,
    ...options.arguments,
  ], { stdio: ["ignore", "pipe", "pipe"] });
  const lines: string[] = [];
  captureLog(child, lines, options.logFile);
  const ended = once(child, "exit");
  const ready = await waitForReadiness(child, options, lines);
  return {
    name: options.name,
    child,
    ready,
    lines,
    end: async (signal) => {
      child.kill(signal);
      await ended;
      return child.exitCode;
    },
  };
}

function captureLog(
  child: ChildProcess,
  lines: string[],
  logFile: string | undefined,
): void {
  const file = logFile === undefined
    ? undefined
    : createWriteStream(logFile, { flags: "a" });
  if (child.stderr === null) return;
  createInterface({ input: child.stderr }).on("line", (line) => {
    file?.write(line + "\n");
    lines.push(line);
    if (lines.length > MAXIMUM_LOG_LINES) lines.shift();
  });
  child.once("close", () => file?.end());
}

function waitForReadiness(
  child: ChildProcess,
  options: StartOptions,
  lines: ReadonlyArray<string>,
): Promise<string> {
  return new Promise((resolve, reject) => {
    function fail(reason: string): void {
      child.kill("SIGKILL");
      reject(new Error(`${options.name} ${reason}\n${lines.join("\n")}`));
    }
    const timer = setTimeout(
      () => fail("was not ready in time"),
      START_TIMEOUT_MILLISECONDS,
    );
    function onExit(status: number | null): void {
      clearTimeout(timer);
      fail(`ended with status ${status}`);
    }
    child.once("exit", onExit);
    if (child.stdout === null) return;
    createInterface({ input: child.stdout }).on("line", (line) => {
      if (!line.startsWith(options.readyPrefix)) return;
      clearTimeout(timer);
      child.off("exit", onExit);
      resolve(line.slice(options.readyPrefix.length));
    });
  });
}
