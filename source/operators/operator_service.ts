import { create } from "@bufbuild/protobuf";
import type { ConnectRouter, ServiceImpl } from "@connectrpc/connect";
import {
  type ApplyConfigurationRequest,
  ApplyConfigurationResponseSchema,
  type ExplainRequest,
  ExplainResponseSchema,
  type GiveKeyRequest,
  GiveKeyResponseSchema,
  OperatorService,
  type WithdrawKeyRequest,
  WithdrawKeyResponseSchema,
} from "../../generated/snipepath/v1/operator_pb.ts";
import { checkDeclaration } from "../declarations/check_declaration.ts";
import type { KeyAuthority } from "../keys/key_authority.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { LedgerQuery } from "../observability/cause_ledger.ts";
import type { ConfigurationWriter } from "./configuration_writer.ts";
import { readStatus, type StatusSources } from "./read_status.ts";

type Implementation = ServiceImpl<typeof OperatorService>;
type Method<Name extends keyof Implementation> = Implementation[Name];

const PERMILLE = 1000;
const MAXIMUM_HISTORY_RECORDS = 200;
// Time in generation is expected, so it is never reported as the condition.
const GENERATION_CAUSE = "generation";
const EXPLAIN_SUBJECTS: ReadonlyArray<LedgerQuery["subject"]> = [
  "request",
  "step",
  "organisation",
  "service",
  "all",
];

/** Dependencies of the operator service. */
export interface OperatorServiceOptions extends StatusSources {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly writer: ConfigurationWriter;
  readonly keys: Pick<KeyAuthority, "issue" | "withdraw">;
  /** Starts to drain this node and returns the number of running requests. */
  readonly startDrain: () => number;
}

/**
 * Registers the operator service on a node's peer server.
 * @param router - Router of the peer server.
 * @param options - Dependencies of the service.
 * @example
 * ```ts
 * startPeerServer({ registerRoutes: [(router) => addOperatorService(router, options)] });
 * ```
 */
export function addOperatorService(
  router: ConnectRouter,
  options: OperatorServiceOptions,
): void {
  router.service(OperatorService, {
    getConfiguration: () => {
      const record = options.configuration.current();
      return record === undefined ? {} : { record };
    },
    applyConfiguration: createApplyHandler(options),
    getHistory: async (request) => {
      const maximum = Math.min(request.maximum || 1, MAXIMUM_HISTORY_RECORDS);
      return { records: [...await options.writer.history(maximum)] };
    },
    getStatus: () => readStatus(options),
    giveKey: createGiveKeyHandler(options),
    withdrawKey: createWithdrawKeyHandler(options),
    drain: () => ({
      node: options.context.settings.node,
      runningRequests: options.startDrain(),
    }),
    explain: createExplainHandler(options),
  });
}

function createApplyHandler(
  options: OperatorServiceOptions,
): Method<"applyConfiguration"> {
  return async (request: ApplyConfigurationRequest) => {
    const { declaration } = request;
    if (declaration === undefined) {
      return createInvalidResponse([{
        field: "declaration",
        problem: "Missing",
        remedy: "Send a declaration",
      }]);
    }
    const faults = checkDeclaration(declaration);
    if (faults.length > 0) return createInvalidResponse(faults);
    const outcome = await options.writer.apply(declaration, {
      expectedRevision: Number(request.expectedRevision),
      note: request.note,
    });
    if (outcome.kind !== "unavailable") {
      return create(ApplyConfigurationResponseSchema, {
        outcome: { case: outcome.kind, value: outcome.record },
      });
    }
    const { reason, unknown } = outcome;
    return create(ApplyConfigurationResponseSchema, {
      outcome: { case: "unavailable", value: { reason, unknown } },
    });
  };
}

function createInvalidResponse(
  faults: ReadonlyArray<
    {
      readonly field: string;
      readonly problem: string;
      readonly remedy: string;
    }
  >,
): ReturnType<typeof create<typeof ApplyConfigurationResponseSchema>> {
  return create(ApplyConfigurationResponseSchema, {
    outcome: {
      case: "invalid",
      value: {
        faults: faults.map(({ field, problem, remedy }) => ({
          field,
          problem,
          remedy,
        })),
      },
    },
  });
}

function createGiveKeyHandler(
  options: OperatorServiceOptions,
): Method<"giveKey"> {
  return async (request: GiveKeyRequest) => {
    const organisations = options.configuration.current()?.declaration
      ?.organisations ?? [];
    if (!organisations.some((each) => each.name === request.organisation)) {
      return create(GiveKeyResponseSchema, {
        outcome: {
          case: "invalid",
          value: {
            field: "organisation",
            problem: `"${request.organisation}" is not declared`,
            remedy: "Declare the organisation and apply the declaration first",
          },
        },
      });
    }
    const outcome = await options.keys.issue({
      organisation: request.organisation,
      trainer: request.trainer,
    });
    if (outcome.kind === "given") {
      return create(GiveKeyResponseSchema, {
        outcome: { case: "key", value: outcome.key },
        keyIdentifier: outcome.keyIdentifier,
      });
    }
    return create(GiveKeyResponseSchema, {
      outcome: {
        case: "unavailable",
        value: { reason: outcome.reason, unknown: outcome.unknown },
      },
    });
  };
}

function createWithdrawKeyHandler(
  options: OperatorServiceOptions,
): Method<"withdrawKey"> {
  return async (request: WithdrawKeyRequest) => {
    const outcome = await options.keys.withdraw(request.keyIdentifier);
    if (outcome.kind === "unknownKey") {
      return create(WithdrawKeyResponseSchema, { unknownKey: true });
    }
    return create(WithdrawKeyResponseSchema, {
      confirmedNodes: [...outcome.confirmedNodes],
      silentNodes: [...outcome.silentNodes],
      saved: outcome.saved,
      streamsCut: outcome.streamsCut,
    });
  };
}

function createExplainHandler(
  options: OperatorServiceOptions,
): Method<"explain"> {
  return (request: ExplainRequest) => {
    const { clock, ledger } = options.context;
    const subject = EXPLAIN_SUBJECTS.find((each) => each === request.subject) ??
      "all";
    const answer = ledger.explain({
      subject,
      identifier: request.identifier,
      withinMilliseconds: clock.wall() - Number(request.sinceUnixMilliseconds),
    });
    const causes = Object.entries(answer.causes)
      .sort(([, left], [, right]) => right - left);
    const totalMilliseconds = causes.reduce(
      (sum, [, milliseconds]) => sum + milliseconds,
      0,
    );
    return create(ExplainResponseSchema, {
      causes: causes.map(([cause, milliseconds]) => ({
        cause,
        milliseconds: BigInt(Math.round(milliseconds)),
        sharePermille: Math.round(
          PERMILLE * milliseconds / Math.max(totalMilliseconds, 1),
        ),
      })),
      subjects: answer.subjects,
      targetsMissed: answer.targetsMissed,
      condition: causes.find(([cause]) => cause !== GENERATION_CAUSE)?.[0] ??
        "",
    });
  };
}
