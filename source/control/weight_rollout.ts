import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";
import type {
  EngineClient,
  EngineOrderOutcome,
} from "../backends/engine_client.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { PublishedVersion } from "../steps/weight_versions.ts";
import { LeaseElector } from "./lease_elector.ts";
import {
  OrderExecutor,
  type OrderOutcome,
  type SendAttempt,
  type SendOutcome,
} from "./order_executor.ts";
import { LoadAttempts } from "./weight_rollout_attempts.ts";
import { LoadConcurrencyController } from "./load_concurrency_controller.ts";
import {
  findWantedGoal,
  planLoads,
  ROLLOUT_POLICIES,
  type RolloutGoal,
  type RolloutPolicyName,
} from "./weight_rollout_planner.ts";

const RECONCILE_INTERVAL_MILLISECONDS = 100;

/** Options of the rollout for one service. */
export interface WeightRolloutOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly engines: Pick<EngineClient, "loadVersion">;
  readonly servers: BackendServerView;
  /** Returns the newest version published by each trainer. */
  readonly versions: { all(): ReadonlyArray<PublishedVersion> };
  readonly service: string;
  /** Returns the number of nodes that compete for the lease. */
  readonly countLeaseCandidates?: () => number;
  /** Rollout policy; defaults to "waves". */
  readonly policy?: RolloutPolicyName;
}

/**
 * Orders all engines of a service to load the newest weight version while this node holds the lease
 * "weights/SERVICE".
 *
 * The rollout derives each next order from the versions that engines report, and so orders the load
 * again after a failed load, a restart of an engine or a late order of an earlier lease holder.
 * @example
 * ```ts
 * const rollout = new WeightRollout({ context, configuration, engines, servers, versions, service });
 * void rollout.run();
 * ```
 */
export class WeightRollout {
  /** The lease under which this rollout gives orders. */
  readonly lease: LeaseElector;
  readonly #options: WeightRolloutOptions;
  readonly #executor: OrderExecutor;
  readonly #concurrencyController: LoadConcurrencyController;
  readonly #attempts: LoadAttempts;
  #wantedVersion = 0;
  /** Monotonic time at which the rollout of the wanted version started, in milliseconds. */
  #startedAt = 0;
  #isFinished = true;

  /** @param options - The service, its engines and the published versions. */
  constructor(options: WeightRolloutOptions) {
    const { context, service } = options;
    this.#options = options;
    this.lease = new LeaseElector({
      context,
      name: `weights/${service}`,
      ...(options.countLeaseCandidates &&
        { countLeaseCandidates: options.countLeaseCandidates }),
    });
    this.#executor = new OrderExecutor({
      context,
      lease: this.lease,
      resend: (sending) => this.#send(sending),
    });
    this.#concurrencyController = new LoadConcurrencyController(context.clock);
    this.#attempts = new LoadAttempts({
      context,
      concurrencyController: this.#concurrencyController,
      service,
    });
  }

  /** Maximum number of concurrent loads, as estimated so far. */
  get concurrency(): number {
    return this.#concurrencyController.concurrency;
  }

  /** Completed loads per second in the newest measurement; 0 before the first. */
  get loadsPerSecond(): number {
    return this.#concurrencyController.loadsPerSecond;
  }

  /** Renews the lease and orders loads until the node stops. */
  async run(): Promise<void> {
    const { stopping, clock } = this.#options.context;
    const leaseTask = this.lease.run();
    while (!stopping.aborted) {
      if (this.lease.getHeldLease() === undefined) this.#attempts.clear();
      else this.#reconcile();
      await clock.sleep(RECONCILE_INTERVAL_MILLISECONDS, stopping);
    }
    await leaseTask;
  }

  #reconcile(): void {
    const goals = this.#getGoals();
    const goal = findWantedGoal(goals);
    if (goal === undefined) return;
    const servers = this.#options.servers.servers(this.#options.service)
      .filter((server) => server.reachable && !server.leaving);
    this.#startIfNewVersion(goal);
    this.#attempts.compareWithReports(servers);
    this.#finishIfComplete(servers, goal);
    for (const server of this.#chooseServers(servers, goals)) {
      void this.#load(server, goal);
    }
    for (const attempt of this.#attempts.takeUnconfirmed()) {
      void this.#confirmLoad(attempt.server, attempt.idempotencyKey, goal);
    }
  }

  #chooseServers(
    servers: ReadonlyArray<BackendServerState>,
    goals: ReadonlyArray<RolloutGoal>,
  ): ReadonlyArray<BackendServerState> {
    const policy = ROLLOUT_POLICIES[this.#options.policy ?? "waves"];
    const limits = policy({
      concurrency: this.#concurrencyController.concurrency,
      minimumServing: this.#getMinimumServing(),
    }, servers.length);
    const engines = servers.map((server) =>
      this.#attempts.describeEngine(server)
    );
    const addresses = planLoads(engines, goals, limits);
    return servers.filter((server) => addresses.includes(server.address));
  }

  #getGoals(): ReadonlyArray<RolloutGoal> {
    const { configuration, versions, service } = this.#options;
    const trainers = configuration.current()?.declaration?.trainers ?? [];
    const published = versions.all();
    return trainers.filter((trainer) => trainer.service === service)
      .flatMap((trainer) => {
        const newest = published.find((each) => each.trainer === trainer.name);
        if (newest === undefined) return [];
        return [{
          trainer: trainer.name,
          version: newest.version,
          location: newest.location,
          boundVersions: trainer.stalenessBoundVersions,
        }];
      });
  }

  #getMinimumServing(): number {
    const { configuration, service } = this.#options;
    return configuration.current()?.declaration?.services
      .find((each) => each.name === service)?.minimumServers ?? 0;
  }

  async #load(server: BackendServerState, goal: RolloutGoal): Promise<void> {
    const idempotencyKey = this.#attempts.start(server, goal);
    const outcome = await this.#perform(server.address, idempotencyKey, goal);
    this.#attempts.finish(server.address, idempotencyKey, outcome.kind);
  }

  async #confirmLoad(
    server: string,
    idempotencyKey: string,
    goal: RolloutGoal,
  ): Promise<void> {
    await this.#perform(server, idempotencyKey, goal);
  }

  #perform(
    server: string,
    idempotencyKey: string,
    goal: RolloutGoal,
  ): Promise<OrderOutcome<string>> {
    return this.#executor.perform({
      idempotencyKey,
      operation: "loadVersion",
      service: this.#options.service,
      server,
      weightVersion: goal.version,
    }, (sending) => this.#send(sending));
  }

  async #send(sending: SendAttempt): Promise<SendOutcome<string>> {
    const { order, fencingNumber, idempotencyKey, signal, mayStart } = sending;
    const { engines, versions, service, context } = this.#options;
    const version = Number(order.weightVersion);
    const published = versions.all().find((each) =>
      each.service === service && each.version === version
    );
    if (published === undefined || published.location === "") {
      return {
        kind: "refused",
        reason: `Version ${version} is not the newest`,
      };
    }
    const outcome = await engines.loadVersion(order.server, {
      version,
      location: published.location,
      fencingNumber,
      idempotencyKey,
    }, {
      signal,
      silenceMilliseconds: context.settings.orderDeadlineMilliseconds,
      mayStart,
    });
    return toSendOutcome(outcome);
  }

  #startIfNewVersion(goal: RolloutGoal): void {
    if (goal.version === this.#wantedVersion) return;
    this.#wantedVersion = goal.version;
    this.#startedAt = this.#options.context.clock.monotonic();
    this.#isFinished = false;
    this.#concurrencyController.startMeasurement();
  }

  #finishIfComplete(
    servers: ReadonlyArray<BackendServerState>,
    goal: RolloutGoal,
  ): void {
    const isFinished = servers.length > 0 &&
      servers.every((server) =>
        Math.max(0, ...server.weightVersions) >= goal.version
      );
    if (this.#isFinished || !isFinished) return;
    this.#isFinished = true;
    const { context, service } = this.#options;
    const milliseconds = Math.round(
      context.clock.monotonic() - this.#startedAt,
    );
    context.metrics.histogram("weights.rollout_milliseconds", milliseconds, {
      service,
    });
    context.log.emit("weightRolloutFinished", {
      service,
      version: goal.version,
      engines: servers.length,
      milliseconds,
    });
  }
}

function toSendOutcome(outcome: EngineOrderOutcome): SendOutcome<string> {
  return OUTCOMES[outcome.kind](outcome as never);
}

const OUTCOMES: {
  readonly [Kind in EngineOrderOutcome["kind"]]: (
    outcome: Extract<EngineOrderOutcome, { readonly kind: Kind }>,
  ) => SendOutcome<string>;
} = {
  done: ({ startIdentity }) => ({ kind: "done", result: startIdentity }),
  fenced: ({ highest }) => ({
    kind: "refused",
    reason: `The engine has already received fencing number ${highest}`,
  }),
  failed: ({ reason }) => ({ kind: "refused", reason }),
  notRun: ({ reason }) => ({ kind: "notRun", reason }),
  unknown: ({ reason }) => ({ kind: "unknown", reason }),
};
