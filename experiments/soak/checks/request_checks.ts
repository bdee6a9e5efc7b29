import type { BackendRequest, Evidence } from "../evidence.ts";
import type { Attempt } from "../journal.ts";
import type { Check } from "./check.ts";

const LEAVING_BOUND_MILLISECONDS = 4000;

/** Checks that a request refused as "not run" did not run. */
export const checkNotRun: Check = (evidence) => {
  const counts = countRuns(evidence);
  return groupByMarker(evidence.journal.attempts).flatMap((attempts) => {
    const first = attempts[0];
    const areAllNotRun = attempts.every(({ outcome }) =>
      outcome.kind === "refused" && outcome.ran === "notRun"
    );
    if (first === undefined || !areAllNotRun) return [];
    const runs = counts.get(first.marker) ?? 0;
    return runs === 0 ? [] : [
      `${first.marker} through ${first.node} was refused as not run (${
        first.outcome.kind === "refused" ? first.outcome.error : ""
      }) and ran ${runs} times`,
    ];
  });
};

/** Checks that a request that may not be repeated runs at most once. */
export const checkAtMostOnce: Check = (evidence) => {
  const counts = countRuns(evidence);
  const orders = evidence.journal.attempts.filter((attempt) =>
    attempt.kind === "order" || attempt.kind === "claimedOrder"
  );
  const markers = new Set(orders.map((attempt) => attempt.marker));
  return [...markers].flatMap((marker) => {
    const runs = counts.get(marker) ?? 0;
    return runs <= 1 ? [] : [`${marker} ran ${runs} times`];
  });
};

/** Checks that no backend server receives the key of a caller. */
export const checkNoKeySeen: Check = ({ journal, backendRequests }) =>
  backendRequests.flatMap((request) => {
    const text = request.path + request.body + JSON.stringify(request.headers);
    const secret = journal.secrets.find((each) => text.includes(each));
    return secret === undefined ? [] : [
      `${request.server} received a key in ${request.method} ${request.path}`,
    ];
  });

/** Checks that no cache salt is used for the requests of two organisations. */
export const checkOrganisations: Check = ({ backendRequests }) => {
  const organisationBySalt = new Map<string, string>();
  return backendRequests.flatMap((request) => {
    const organisation = /Spell for ([a-z0-9-]+) \[/.exec(request.body)?.[1];
    const salt = /"cache_salt":"([^"]*)"/.exec(request.body)?.[1];
    if (organisation === undefined || salt === undefined) return [];
    const known = organisationBySalt.get(salt) ?? organisation;
    organisationBySalt.set(salt, known);
    return known === organisation
      ? []
      : [`the prefix cache of ${known} was used for ${organisation}`];
  });
};

/** Checks that a withdrawn key stops working within `keyBoundMilliseconds`. */
export const checkWithdrawnKeys: Check = (
  { journal, keyBoundMilliseconds },
) =>
  journal.withdrawals.flatMap(({ keyIdentifier, answeredAt }) =>
    journal.attempts
      .filter((attempt) => attempt.keyIdentifier === keyIdentifier)
      .filter((attempt) => attempt.outcome.kind === "answered")
      .filter((attempt) => attempt.sentAt > answeredAt + keyBoundMilliseconds)
      .map((attempt) =>
        `${attempt.call} through ${attempt.node} was answered ${
          Math.round(attempt.sentAt - answeredAt)
        } ms after its key was withdrawn`
      )
  );

/** Checks that a draining backend server receives no new work after 4 s. */
export const checkLeavingServers: Check = ({ journal, backendRequests }) =>
  journal.faults.filter((fault) => fault.kind === "serverLeave").flatMap(
    (fault) => {
      const late = journal.attempts.filter((attempt) =>
        attempt.sentAt > fault.from + LEAVING_BOUND_MILLISECONDS &&
        attempt.endedAt < fault.to
      );
      const received = backendRequests.filter((request) =>
        request.server === fault.target
      );
      return late.filter((attempt) =>
        received.some((request) => hasMarker(request, attempt.marker))
      ).map((attempt) =>
        `${attempt.call} reached ${fault.target} ${
          Math.round(attempt.sentAt - fault.from)
        } ms after it started to drain`
      );
    },
  );

function groupByMarker(
  attempts: ReadonlyArray<Attempt>,
): ReadonlyArray<ReadonlyArray<Attempt>> {
  const groups = new Map<string, Attempt[]>();
  for (const attempt of attempts) {
    const group = groups.get(attempt.marker) ?? [];
    group.push(attempt);
    groups.set(attempt.marker, group);
  }
  return [...groups.values()];
}

function countRuns(evidence: Evidence): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const request of evidence.backendRequests) {
    const marker = findMarker(request);
    if (marker === undefined) continue;
    counts.set(marker, (counts.get(marker) ?? 0) + 1);
  }
  return counts;
}

function findMarker(request: BackendRequest): string | undefined {
  return /\[([a-z0-9-]+)\]/.exec(request.body)?.[1] ??
    /\/([a-z0-9-]+)$/.exec(request.path)?.[1];
}

function hasMarker(request: BackendRequest, marker: string): boolean {
  return findMarker(request) === marker;
}
