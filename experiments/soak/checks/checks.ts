import type { Check } from "./check.ts";
import { checkTypedRefusals, checkWholeAnswers } from "./answer_checks.ts";
import {
  checkBills,
  checkConfiguration,
  checkCrashes,
  checkOrderFencing,
  checkShutdowns,
  checkUsageReports,
} from "./control_checks.ts";
import {
  checkAtMostOnce,
  checkLeavingServers,
  checkNoKeySeen,
  checkNotRun,
  checkOrganisations,
  checkWithdrawnKeys,
} from "./request_checks.ts";
import {
  checkDeliveredOnce,
  checkStaleness,
  checkTrueVersions,
} from "./sample_checks.ts";

/** Checks by the name of the guarantee that they verify. */
export const CHECKS: Readonly<Record<string, Check>> = {
  "true weight versions": checkTrueVersions,
  "staleness bound": checkStaleness,
  "delivered once": checkDeliveredOnce,
  "runs only for the key's organisation": checkOrganisations,
  "no key reaches a backend server": checkNoKeySeen,
  "withdrawn key stops in seconds": checkWithdrawnKeys,
  "orders never from two in charge": checkOrderFencing,
  "usage window: one figure, one reporter": checkUsageReports,
  "no bill above the attempts": checkBills,
  "whole answer to its own request": checkWholeAnswers,
  "refusals are typed": checkTypedRefusals,
  '"not run" is true': checkNotRun,
  "not repeatable: at most once": checkAtMostOnce,
  "leaving backend server": checkLeavingServers,
  "graceful shutdown": checkShutdowns,
  "configuration in force, never back": checkConfiguration,
  "no process stops by itself": checkCrashes,
};
