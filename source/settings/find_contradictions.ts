import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";
import type { SettingProblem } from "./setting_definition.ts";

interface Rule {
  readonly setting: SettingProblem["setting"];
  readonly isSatisfied: (settings: NodeSettings) => boolean;
  readonly message: string;
}

const RULES: ReadonlyArray<Rule> = [
  {
    setting: "silenceMilliseconds",
    isSatisfied: (settings) =>
      settings.silenceMilliseconds >= 2 * settings.heartbeatMilliseconds,
    message: "Must be at least twice --heartbeat-milliseconds",
  },
  {
    setting: "keyFreshnessMilliseconds",
    isSatisfied: (settings) =>
      settings.keyFreshnessMilliseconds > settings.silenceMilliseconds,
    message: "Must be longer than --silence-milliseconds",
  },
  {
    setting: "leaseMilliseconds",
    isSatisfied: (settings) =>
      settings.leaseMilliseconds >= 2 * settings.orderDeadlineMilliseconds,
    message: "Must be at least twice --order-deadline-milliseconds",
  },
  {
    setting: "drainMilliseconds",
    isSatisfied: (settings) =>
      settings.drainMilliseconds >= settings.addressKeepMilliseconds,
    message: "Must not be shorter than --address-keep-milliseconds",
  },
  {
    setting: "peerAddress",
    isSatisfied: (settings) => settings.peerAddress !== settings.callerAddress,
    message: "Must differ from --caller-address",
  },
  {
    setting: "peerSecret",
    isSatisfied: (settings) =>
      settings.peerSecret !== "" || isLoopback(settings.peerAddress),
    message: "Must be set when --peer-address is not a loopback address",
  },
];

/**
 * Finds settings that contradict each other.
 * @param settings - Settings that are each valid on their own.
 */
export function findContradictions(
  settings: NodeSettings,
): ReadonlyArray<SettingProblem> {
  return RULES.filter((rule) => !rule.isSatisfied(settings))
    .map(({ setting, message }) => ({ setting, message }));
}

function isLoopback(address: string): boolean {
  return /^(127\.|localhost:|\[::1\])/.test(address);
}
