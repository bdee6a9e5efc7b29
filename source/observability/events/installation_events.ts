import { defineEvent } from "../event_definition.ts";

/** Events numbered 9000 to 9999. */
export const INSTALLATION_EVENTS = {
  installationNodeStarted: defineEvent(9001, {
    level: "info",
    message: "The node accepts client requests",
    action: "",
    fields: ["node", "nodeStart", "address"],
  }),
  installationNodeStarting: defineEvent(9005, {
    level: "info",
    message: "The process has read its settings and starts",
    action: "",
    fields: ["node", "nodeStart", "storeAddress"],
  }),
  installationNodeWaiting: defineEvent(9006, {
    level: "warn",
    message: "The node is not ready; waitingFor names what it has not read yet",
    action:
      "Check that the store answers and that the operator has written a configuration",
    fields: ["waitingFor", "milliseconds"],
  }),
  installationNodeLeaving: defineEvent(9002, {
    level: "info",
    message: "The node is no longer in address answers and drains",
    action: "",
    fields: ["running", "steps"],
  }),
  installationNodeStopped: defineEvent(9003, {
    level: "info",
    message: "The node has stopped",
    action: "",
    fields: ["cut"],
  }),
  clientMemoryFull: defineEvent(9007, {
    level: "warn",
    message:
      "Requests were ended to make room for others; the fields are those of the last one, ended counts all since the last event",
    action:
      "Check which organisation sends large or stalled bodies; if all are ordinary, give the instances more memory",
    fields: [
      "ended",
      "state",
      "organisation",
      "bytes",
      "usedBytes",
      "limitBytes",
    ],
  }),
  memoryShort: defineEvent(9008, {
    level: "warn",
    message:
      "The resident memory is close to that of the instance; garbage was collected",
    action:
      "If it repeats and afterBytes stays close to limitBytes, give the instances more memory",
    fields: ["residentBytes", "afterBytes", "limitBytes", "milliseconds"],
  }),
  connectionsFull: defineEvent(9009, {
    level: "warn",
    message:
      "Connections without a running request were closed to make room for new ones; closed counts all since the last event",
    action:
      "Check who opens so many connections; if all are ordinary callers, add instances",
    fields: ["address", "closed", "limit"],
  }),
  settingsRead: defineEvent(9004, {
    level: "info",
    message: "The settings file was reloaded",
    action: "",
    fields: ["problem"],
  }),
  storeLost: defineEvent(9101, {
    level: "warn",
    message: "Changes of a table in the store cannot be read",
    action:
      "Check the store and the network path to it if the table is not followed again soon",
    fields: ["table", "reason"],
  }),
  storeRegained: defineEvent(9102, {
    level: "info",
    message: "Changes of a table in the store can be read again",
    action: "",
    fields: ["table"],
  }),
  operatorRowMalformed: defineEvent(9104, {
    level: "error",
    message:
      "A row of the operator is malformed; the earlier value remains in force",
    action: "Correct the row",
    fields: ["key"],
  }),
  serverEntryMalformed: defineEvent(9105, {
    level: "warn",
    message: "An entry in the list of servers is malformed and is ignored",
    action: "Find the program that wrote the entry",
    fields: ["key"],
  }),
  rowMalformed: defineEvent(9103, {
    level: "warn",
    message:
      "A row that nodes write for each other is malformed and is left out; at most 20 rows of a table are named in a minute",
    action: "Find the program that wrote the row",
    fields: ["table", "key"],
  }),
  configurationInForce: defineEvent(9106, {
    level: "info",
    message: "A configuration took effect",
    action: "",
    fields: ["version", "routes"],
  }),
  nodesSeen: defineEvent(9108, {
    level: "info",
    message:
      "New processes of other nodes were discovered; at most eight are named",
    action: "",
    fields: ["count", "nodeStarts"],
  }),
  evacuationStarted: defineEvent(9109, {
    level: "info",
    message:
      "The node sends no requests to the servers of a failure domain, which the operator evacuates; servers is the number that it knows there",
    action: "",
    fields: ["failureDomain", "servers"],
  }),
  evacuationEnded: defineEvent(9110, {
    level: "info",
    message:
      "The evacuation of a failure domain has ended, and its servers get requests again",
    action: "",
    fields: ["failureDomain", "servers"],
  }),
  attemptFailed: defineEvent(9201, {
    level: "info",
    message: "A server did not return a complete, signed answer",
    action: "",
    fields: ["request", "server", "reason"],
  }),
  serverLimitNamed: defineEvent(9204, {
    level: "info",
    message:
      "A server named the number of requests a second that it accepts from all nodes together",
    action: "If it lasts, add servers to the service",
    fields: ["server", "requestsPerSecond"],
  }),
  serverLimitLifted: defineEvent(9205, {
    level: "info",
    message: "A server's answer no longer names a limit",
    action: "",
    fields: ["server"],
  }),
  serverLimitUsed: defineEvent(9206, {
    level: "info",
    message:
      "Number of requests that the node sent to a server with a limit, in the time since the last such line; share is the rate that the node may send",
    action:
      "Compare the sum over the nodes with the limit; compare sent with the refusals of the server",
    fields: ["server", "requestsPerSecond", "share", "sent", "milliseconds"],
  }),
  streamOriginNotSaved: defineEvent(9207, {
    level: "warn",
    message:
      "The store did not confirm which software version began a stream; another node may be unable to go on with it",
    action: "",
    fields: ["reason"],
  }),
  serverEndedDuringCall: defineEvent(9208, {
    level: "warn",
    message:
      "A server ended while it ran a call; content is the same for all calls with the same caller, path and body",
    action:
      "If the same content is named for several servers, its calls crash them; find its caller",
    fields: ["request", "content", "server"],
  }),
  crashingCallsHeld: defineEvent(9209, {
    level: "warn",
    message:
      "Several servers ended under calls with one content, which are held for some time",
    action:
      "Find the caller by the calls that event 9208 names with this content; it must change the request",
    fields: ["content", "crashes"],
  }),
  crashTrialStarted: defineEvent(9210, {
    level: "info",
    message:
      "One of the calls that were held is sent, to find out whether it still crashes servers",
    action: "",
    fields: ["content", "crashes", "trials"],
  }),
  crashRecordCleared: defineEvent(9211, {
    level: "info",
    message:
      "A server answered a call with a content under which servers had ended, so its calls are not held",
    action: "",
    fields: ["content", "crashes"],
  }),
  crashRecordNotSaved: defineEvent(9212, {
    level: "warn",
    message:
      "The store did not accept what this node knows of servers that ended under a content",
    action: "Check the store",
    fields: ["content"],
  }),
  crashRecordMalformed: defineEvent(9213, {
    level: "warn",
    message:
      "A row of the crash records can't be read; it counts as a content without crashes",
    action: "Find the program that wrote the row",
    fields: ["content"],
  }),
  serversUnreachable: defineEvent(9214, {
    level: "warn",
    message:
      "The node can't connect to any of several servers and counts as cut off from them",
    action: "Check the network between the node and the servers",
    fields: [],
  }),
  serversReachable: defineEvent(9215, {
    level: "info",
    message: "The node can connect to servers again",
    action: "",
    fields: [],
  }),
  relayFailed: defineEvent(9216, {
    level: "info",
    message:
      "A node that should forward a call to the servers did not answer and gets none for some time",
    action: "",
    fields: ["request", "node", "reason"],
  }),
  serverStartUnknown: defineEvent(9217, {
    level: "info",
    message:
      "A server did not report its start; no stream or text goes on there until it does",
    action: "",
    fields: ["server", "startedAt"],
  }),
  serverStartReplaced: defineEvent(9218, {
    level: "info",
    message:
      "A server has started again under its identifier, and its entry describes an earlier start; no stream or text of that start goes on there",
    action: "",
    fields: ["server", "startedAt", "reported"],
  }),
  allowedRegionsInForce: defineEvent(9225, {
    level: "info",
    message:
      "The lists of allowed regions have changed; routes and organisations are the numbers of those that have one",
    action: "",
    fields: ["version", "routes", "organisations"],
  }),
  failureDomainWithoutRegion: defineEvent(9226, {
    level: "warn",
    message:
      "The settings name no region for a failure domain, so that its servers and nodes get no requests that are restricted to regions",
    action: "Add the failure domain to the settings of all nodes",
    fields: ["failureDomain"],
  }),
  stepOwnerReplaced: defineEvent(9227, {
    level: "info",
    message:
      "A step was submitted again while its owner was in a region that the lists in force do not allow; another node owns it now",
    action: "",
    fields: ["step", "from", "to", "outcome"],
  }),
  takeoverNotAllowed: defineEvent(9228, {
    level: "warn",
    message:
      "A step has lost its owner and no running node is in a region that may take it over",
    action:
      "Start a node in an allowed region, or in the region where the step was submitted",
    fields: ["step", "regions", "submittedRegion"],
  }),
  serverWarmUpStarted: defineEvent(9219, {
    level: "info",
    message:
      "A server is in warm-up, in which all nodes together keep its requests to the rate of its service",
    action: "",
    fields: ["server", "service", "cause", "milliseconds"],
  }),
  serverWarmUpEnded: defineEvent(9220, {
    level: "info",
    message:
      "The warm-up of a server has ended; sent is the number of requests that this node sent to it meanwhile",
    action: "",
    fields: ["server", "service", "sent"],
  }),
  backgroundTaskFailed: defineEvent(9230, {
    level: "error",
    message:
      "A background task of the node failed unexpectedly and is started again; calls go on",
    action: "Report the event with its stack as a bug",
    fields: ["task", "detail"],
  }),
  unexpectedError: defineEvent(9231, {
    level: "error",
    message:
      "An error was not handled where it occurred; the process goes on unless 20 of them occur within a minute",
    action: "Report the event with its stack as a bug",
    fields: ["count", "detail"],
  }),
  callsEndedByStop: defineEvent(9232, {
    level: "warn",
    message:
      "The grace period ended before these calls did; they were answered as not run or as unknown",
    action:
      "If callers need these calls, raise the grace period above the timeouts of their routes",
    fields: ["answered"],
  }),
  callMoved: defineEvent(9221, {
    level: "info",
    message:
      "The route of a call that was not answered yet has moved; the call goes on at the new service",
    action: "",
    fields: ["request", "former", "service"],
  }),
  callNotRun: defineEvent(9222, {
    level: "info",
    message:
      "A server said that it did not run a call which may run once; the call may be sent again",
    action: "",
    fields: ["request", "server"],
  }),
  callEnded: defineEvent(9202, {
    level: "info",
    message: "A call ended without a server's answer",
    action: "Read the outcome; trace the request's attempts by its identifier",
    fields: ["request", "target", "outcome", "detail", "milliseconds"],
  }),
  entryFailed: defineEvent(9203, {
    level: "error",
    message: "A call ended with an internal error",
    action: "Report the event as a bug",
    fields: ["request", "detail"],
  }),
  durableStepAccepted: defineEvent(9301, {
    level: "info",
    message:
      "A step was accepted and its manifest was stored; milliseconds is the time since it arrived, and its results are due dueMilliseconds after that",
    action: "",
    fields: [
      "step",
      "model",
      "stepNumber",
      "samples",
      "targetGroups",
      "milliseconds",
      "dueMilliseconds",
    ],
  }),
  durableStepRejected: defineEvent(9310, {
    level: "warn",
    message:
      "A step was refused because the engines can't run its samples within their lifetime",
    action:
      "If it repeats, add engines or let the trainers submit smaller or fewer steps",
    fields: ["step", "model", "samples", "retryAfterMilliseconds"],
  }),
  durableStepRunStarted: defineEvent(9302, {
    level: "info",
    message: "The node started to run a step",
    action: "",
    fields: ["step", "model", "stepNumber", "samples", "listed"],
  }),
  durableStepTakenOver: defineEvent(9303, {
    level: "info",
    message: "The node tried to take over a step whose owner is unreachable",
    action: "",
    fields: ["step", "from", "outcome"],
  }),
  durableStepEnded: defineEvent(9304, {
    level: "info",
    message: "A trainer ended a step",
    action: "",
    fields: ["step"],
  }),
  sampleTerminated: defineEvent(9305, {
    level: "warn",
    message: "A sample was terminated",
    action: "",
    fields: ["step", "group", "sample", "reason"],
  }),
  sampleAttemptCut: defineEvent(9306, {
    level: "info",
    message: "An engine ended a text early; another engine continues it",
    action: "",
    fields: ["sample", "server", "reason", "afterEvent"],
  }),
  softwareVersionChanged: defineEvent(9311, {
    level: "warn",
    message:
      "An engine answered for a text that another software version, begunAt, began; the answer was discarded",
    action: "",
    fields: ["sample", "server", "softwareVersion", "begunAt", "afterEvent"],
  }),
  textRestarted: defineEvent(9312, {
    level: "info",
    message:
      "A text is generated again from its start, since no engine of the software version that began it could go on; events counts what was discarded",
    action: "If it repeats, replace the engines more slowly",
    fields: ["sample", "softwareVersion", "events"],
  }),
  textVersionsUnusable: defineEvent(9314, {
    level: "warn",
    message:
      "A complete text has weight versions that its step may not list; it is generated again",
    action:
      "If the route was not made single_version just before, report the event as a bug",
    fields: ["step", "sample", "versions", "minimumVersion"],
  }),
  sampleFinished: defineEvent(9307, {
    level: "info",
    message:
      "A sample is complete and scored; startedAt, madeAt and scoredAt are milliseconds since its step started to run, and waited to resumed are the milliseconds spent in each state until the text was complete; takenEvents of its events came from an earlier run",
    action: "",
    fields: [
      "step",
      "group",
      "sample",
      "versions",
      "takenEvents",
      "startedAt",
      "madeAt",
      "scoredAt",
      "waited",
      "waitedForWeights",
      "asked",
      "generated",
      "resumed",
      "events",
      "attempts",
      "refusals",
      "moves",
    ],
  }),
  stepRowsDeleted: defineEvent(9308, {
    level: "info",
    message:
      "The rows of a step were deleted after the retention time of its results",
    action: "",
    fields: ["step"],
  }),
  resultsListed: defineEvent(9313, {
    level: "info",
    message:
      "Results of a step were listed in the store; milliseconds is the longest time that one of them waited for it",
    action:
      "If the time is often above a second, check whether the store answers slowly",
    fields: ["step", "samples", "milliseconds"],
  }),
  sampleUnfinished: defineEvent(9309, {
    level: "info",
    message:
      "A sample was incomplete when its step ended; milliseconds is the time it had spent in the state given by doing",
    action: "",
    fields: [
      "step",
      "group",
      "sample",
      "doing",
      "milliseconds",
      "waited",
      "waitedForWeights",
      "asked",
      "generated",
      "resumed",
      "events",
      "attempts",
      "refusals",
      "unusableVersions",
      "moves",
    ],
  }),
  usageWindowReported: defineEvent(9401, {
    level: "info",
    message: "The usage of a window was sent",
    action: "",
    fields: ["window", "outcome", "organisations"],
  }),
  weightLoadSeen: defineEvent(9320, {
    level: "info",
    message:
      "An engine has loaded an ordered weight version as this node's requests show; its samples are placed as usual again",
    action: "",
    fields: ["server", "model", "version", "milliseconds", "refusals"],
  }),
  weightLoadMissing: defineEvent(9321, {
    level: "info",
    message:
      "An engine ran a request with an older weight version after the expected end of an ordered load; it is used with this version",
    action:
      "If it repeats for one engine, check whether it applies the orders that it accepts",
    fields: ["server", "model", "version", "milliseconds"],
  }),
  textMoved: defineEvent(9322, {
    level: "info",
    message:
      "A text leaves its engine, which became slow, to be continued at a faster one",
    action: "If it repeats for one engine, check the engine",
    fields: ["server", "remainingEvents", "eventMilliseconds"],
  }),
  samplesWaitLong: defineEvent(9323, {
    level: "warn",
    message:
      "Samples have waited for an engine for five seconds or more; usable counts the engines of the service whose weights, software and region they may use, available those of them that are free",
    action:
      "Without engines, check the route and the servers of its service; without usable ones, their weights; with available ones, report the event as a bug",
    fields: [
      "service",
      "model",
      "minimumVersion",
      "samples",
      "milliseconds",
      "engines",
      "usable",
      "available",
    ],
  }),
  slotClaimIgnored: defineEvent(9330, {
    level: "info",
    message:
      "Free slots of a service were left to waiting work of other nodes, which did not take them in time; this node uses them",
    action:
      "If it repeats, check whether the other nodes reach the servers of the service and the store",
    fields: ["service"],
  }),
  weightOrderSent: defineEvent(9402, {
    level: "info",
    message: "An engine was ordered to load a weight version",
    action: "",
    fields: [
      "server",
      "model",
      "version",
      "fencingNumber",
      "outcome",
      "detail",
    ],
  }),
  serverOrderSent: defineEvent(9403, {
    level: "info",
    message: "Servers were ordered from the platform",
    action: "",
    fields: [
      "service",
      "failureDomain",
      "servers",
      "isReclaimable",
      "fencingNumber",
      "outcome",
    ],
  }),
} as const;
