import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";
import type { SettingProblem } from "./setting_definition.ts";

interface Rule {
  readonly setting: SettingProblem["setting"];
  readonly holds: (settings: NodeSettings) => boolean;
  readonly message: string;
}

const RULES: ReadonlyArray<Rule> = [
  {
    setting: "silenceMilliseconds",
    holds: (settings) =>
      settings.silenceMilliseconds >= 2 * settings.heartbeatMilliseconds,
    message: "Must be at least twice --heartbeat-milliseconds",
  },
  {
    setting: "keyFreshnessMilliseconds",
    holds: (settings) =>
      settings.keyFreshnessMilliseconds > settings.silenceMilliseconds,
    message: "Must be longer than --silence-milliseconds",
  },
  {
    setting: "leaseMilliseconds",
    holds: (settings) =>
      settings.leaseMilliseconds >= 2 * settings.orderDeadlineMilliseconds,
    message: "Must be at least twice --order-deadline-milliseconds",
  },
  {
    setting: "drainMilliseconds",
    holds: (settings) =>
      settings.drainMilliseconds >= settings.addressKeepMilliseconds,
    message: "Must not be shorter than --address-keep-milliseconds",
  },
  {
    setting: "peerAddress",
    holds: (settings) => settings.peerAddress !== settings.callerAddress,
    message: "Must differ from --caller-address",
  },
  {
    setting: "peerSecret",
    holds: (settings) =>
      settings.peerSecret !== "" || isLoopback(settings.peerAddress),
    message: "Must be set when --peer-address is not a loopback address",
  },
];

/**
 * Finds settings that contradict each other.
 * @param settings - Settings that are each valid alone.
 */
export function findContradictions(
  settings: NodeSettings,
): ReadonlyArray<SettingProblem> {
  return RULES.filter((rule) => !rule.holds(settings))
    .map(({ setting, message }) => ({ setting, message }));
}

function isLoopback(address: string): boolean {
  return /^(127\.|localhost:|\[::1\])/.test(address);
}
