import type { DutyLease } from "../duties/duty_lease.ts";
import { ServerReplacer } from "../duties/server_replacer.ts";
import { UsageWindowReporter } from "../duties/usage_window_reporter.ts";
import type { InstallationSettings } from "../installation/installation_settings.ts";
import { findSettledWindow } from "../installation/find_settled_window.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { InstallationAdapters } from "./installation_adapters.ts";
import type { BackgroundPart } from "./installation_node.ts";
import type { CommonDependencies } from "./installation_node_options.ts";

/** What the duties of an installation need of the other parts of a node. */
export interface DutyParts {
  readonly common: CommonDependencies;
  readonly lease: DutyLease;
  readonly operator: OperatorView;
  readonly servers: ServerView;
  readonly register: NodeRegister;
}

/**
 * Creates the duties that the settings name: reports of usage and orders of servers.
 * @example
 * ```ts
 * const duties = createDuties(options, { common, lease, operator, servers, register });
 * ```
 */
export function createDuties(
  { settings, adapters }: {
    readonly settings: InstallationSettings;
    readonly adapters: InstallationAdapters;
  },
  { common, lease, operator, servers, register }: DutyParts,
): ReadonlyArray<BackgroundPart> {
  const { bounds } = settings;
  const duties: BackgroundPart[] = [];
  if (adapters.duties === undefined) return duties;
  const duty = { ...common, duties: adapters.duties, lease };
  if (settings.reportsUsage) {
    duties.push(
      new UsageWindowReporter({
        ...duty,
        settledThrough: () =>
          findSettledWindow(
            register,
            bounds.usageWindowMilliseconds + bounds.keyWithdrawalMilliseconds,
          ),
        windowMilliseconds: bounds.usageWindowMilliseconds,
        reportDeadlineMilliseconds: bounds.usageReportDeadlineMilliseconds,
        startedAt: common.clock.wall(),
      }),
    );
  }
  if (settings.ordersServers) {
    duties.push(new ServerReplacer({ ...duty, operator, servers }));
  }
  return duties;
}
