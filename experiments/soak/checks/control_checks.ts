import type { Evidence } from "../evidence.ts";
import type { InjectedFault, ObservedDrain } from "../journal.ts";
import type { Check } from "./check.ts";

/** Checks that no order has a lower fencing number than an earlier order for the same service. */
export const checkOrderFencing: Check = ({ orders }) => {
  const highest = new Map<string, number>();
  return orders.flatMap(({ order }) => {
    const known = highest.get(order.service) ?? 0;
    highest.set(order.service, Math.max(known, order.fencingNumber));
    return order.fencingNumber >= known ? [] : [
      `an order for ${order.service} with fencing number ${order.fencingNumber} came after ${known}`,
    ];
  });
};

/**
 * Checks that no usage window is reported with different figures, and no report comes from a holder
 * whose lease was superseded.
 */
export const checkUsageReports: Check = ({ usageReports }) => {
  const figures = new Map<string, string>();
  const problems: string[] = [];
  let highest = 0;
  for (const { report, result } of usageReports) {
    const window = `${report.windowStart}/${report.organisation}`;
    const text = JSON.stringify([report.figures, report.adjustments]);
    const known = figures.get(window) ?? text;
    figures.set(window, known);
    if (known !== text || result.kind === "contradiction") {
      problems.push(`window ${window}: ${known} and ${text}`);
    }
    if (report.fencingNumber < highest) {
      problems.push(
        `a report with fencing number ${report.fencingNumber} came after ${highest}`,
      );
    }
    highest = Math.max(highest, report.fencingNumber);
  }
  return problems;
};

/**
 * Checks that no organisation is billed for more requests than its attempts that may have run. The
 * organisation "open" is exempt, and so is the trainer's once the trainer has run a step.
 */
export const checkBills: Check = (evidence) => {
  const billed = sumBilledRequests(evidence);
  const attempted = new Map<string, number>();
  for (
    const { organisation, keyIdentifier, outcome } of evidence.journal.attempts
  ) {
    const isNotRun = outcome.kind === "refused" && outcome.ran === "notRun";
    if (isNotRun || keyIdentifier === "") continue;
    attempted.set(organisation, (attempted.get(organisation) ?? 0) + 1);
  }
  const samples = evidence.journal.steps.length;
  return [...billed].flatMap(([organisation, requests]) => {
    const most = attempted.get(organisation) ?? 0;
    // The trainer's organisation is billed for samples too, which are no attempts of callers.
    const isTrainers = samples > 0 && requests > most;
    if (requests <= most || organisation === "open") return [];
    return isTrainers && organisation === evidence.trainerOrganisation ? [] : [
      `${organisation} was billed ${requests} requests for ${most} attempts`,
    ];
  });
};

/**
 * Sums the reported requests of each organisation.
 * @param evidence - Usage reports of the run.
 */
export function sumBilledRequests(
  evidence: Pick<Evidence, "usageReports">,
): ReadonlyMap<string, number> {
  const windows = new Map<string, number>();
  for (const { report } of evidence.usageReports) {
    const adjusted = report.adjustments.reduce(
      (sum, each) => sum + each.figures.requests,
      report.figures.requests,
    );
    windows.set(`${report.organisation}/${report.windowStart}`, adjusted);
  }
  const sums = new Map<string, number>();
  for (const [window, requests] of windows) {
    const organisation = window.slice(0, window.lastIndexOf("/"));
    sums.set(organisation, (sums.get(organisation) ?? 0) + requests);
  }
  return sums;
}

/**
 * Checks that an accepted configuration is in force on all nodes within
 * `configurationBoundMilliseconds`, and that no node reverts to an earlier one.
 */
export const checkConfiguration: Check = (evidence) => [
  ...findReverts(evidence),
  ...findLateNodes(evidence),
];

function findReverts({ journal }: Evidence): ReadonlyArray<string> {
  const highest = new Map<string, number>();
  return journal.nodeRevisions.flatMap(({ node, nodeStart, revision }) => {
    const known = highest.get(nodeStart) ?? 0;
    highest.set(nodeStart, Math.max(known, revision));
    return revision >= known
      ? []
      : [`${node} reverted from revision ${known} to ${revision}`];
  });
}

function findLateNodes(evidence: Evidence): ReadonlyArray<string> {
  const { journal, configurationBoundMilliseconds } = evidence;
  return journal.revisions.flatMap(({ revision, answeredAt }) =>
    journal.nodeRevisions
      .filter((report) =>
        report.at > answeredAt + configurationBoundMilliseconds
      )
      .filter((report) => report.revision < revision)
      .filter((report) =>
        !journal.faults.some((fault) =>
          fault.target === report.node && fault.from < report.at &&
          fault.to + configurationBoundMilliseconds > report.at
        )
      )
      .map((report) =>
        `${report.node} still used revision ${report.revision} ${
          Math.round(report.at - answeredAt)
        } ms after ${revision} was accepted`
      )
  );
}

/** Checks that a graceful shutdown interrupts no request and ends with status 0. */
export const checkShutdowns: Check = ({ journal }) =>
  journal.drains.flatMap((drain) => {
    const problems = journal.attempts
      .filter((attempt) => attempt.address === drain.address)
      .filter((attempt) => attempt.sentAt < drain.to)
      .filter((attempt) =>
        attempt.endedAt > drain.from && attempt.endedAt <= drain.to
      )
      .filter((attempt) => attempt.outcome.kind === "lost")
      .filter((attempt) => !isExcused(attempt, journal.faults, drain))
      .map((attempt) =>
        `${attempt.call}, sent ${
          Math.round(attempt.sentAt - drain.from)
        } ms after ${drain.node} received SIGTERM, was lost: ${
          attempt.outcome.kind === "lost" ? attempt.outcome.reason : ""
        }`
      );
    if (drain.exitStatus !== 0) {
      problems.push(
        `${drain.node} ended with status ${drain.exitStatus}: ${
          drain.lines.slice(-2).join(" ")
        }`,
      );
    }
    return problems;
  });

// Returns whether a fault of a backend server explains the loss: a server that ends during a
// response interrupts it, whatever the node does.
function isExcused(
  attempt: { readonly sentAt: number; readonly endedAt: number },
  faults: ReadonlyArray<InjectedFault>,
  drain: ObservedDrain,
): boolean {
  return faults.some((fault) =>
    fault.kind.startsWith("server") && fault.from < attempt.endedAt &&
    fault.to > attempt.sentAt && fault.from < drain.to
  );
}

/** Checks that no node ended unexpectedly and that the first weight version was accepted. */
export const checkCrashes: Check = ({ journal }) => journal.crashes;
