import type { Evidence } from "../evidence.ts";
import type { SeenDrain, SeenFault } from "../journal.ts";
import type { Check } from "./check.ts";

/** The platform never gets orders from two processes that both believe they are in charge. */
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

/** No usage window is reported twice with different figures, or by two that believe they are in charge. */
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

/** No organisation is billed for more than its attempts that may have run. */
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
    // The trainer's organisation is billed for samples too, which callers don't count.
    const isTrainers = samples > 0 && requests > most;
    if (requests <= most || organisation === "open") return [];
    return isTrainers && organisation === evidence.trainerOrganisation ? [] : [
      `${organisation} was billed ${requests} requests for ${most} attempts`,
    ];
  });
};

/**
 * Sums the reported requests of each organisation.
 * @param evidence - What was seen.
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

/** An accepted configuration is in force everywhere within its bound and never reverts. */
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
      : [`${node} went from revision ${known} back to ${revision}`];
  });
}

function findLateNodes(evidence: Evidence): ReadonlyArray<string> {
  const { journal, configurationBoundMilliseconds } = evidence;
  return journal.revisions.flatMap(({ revision, answeredAt }) =>
    journal.nodeRevisions
      .filter((seen) => seen.at > answeredAt + configurationBoundMilliseconds)
      .filter((seen) => seen.revision < revision)
      .filter((seen) =>
        !journal.faults.some((fault) =>
          fault.target === seen.node && fault.from < seen.at &&
          fault.to + configurationBoundMilliseconds > seen.at
        )
      )
      .map((seen) =>
        `${seen.node} went by revision ${seen.revision} ${
          Math.round(seen.at - answeredAt)
        } ms after ${revision} was accepted`
      )
  );
}

/** A graceful shutdown cuts no request, and ends with status 0. */
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
        } ms after ${drain.node} was told to leave, was lost: ${
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

// A backend server that dies in the middle of an answer cuts it whatever the node does.
function isExcused(
  attempt: { readonly sentAt: number; readonly endedAt: number },
  faults: ReadonlyArray<SeenFault>,
  drain: SeenDrain,
): boolean {
  return faults.some((fault) =>
    fault.kind.startsWith("server") && fault.from < attempt.endedAt &&
    fault.to > attempt.sentAt && fault.from < drain.to
  );
}

/** No process stops by itself: that would be a broken invariant. */
export const checkCrashes: Check = ({ journal }) => journal.crashes;
