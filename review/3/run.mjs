// deno-lint-ignore-file explicit-function-return-type
// A version of the configuration moves the route of a batch submission to another service while items
// wait; then the engine of the former service drains and leaves.
import { sleep } from "../harness/client.mjs";
import { EngineUse } from "../harness/engine_use.mjs";
import { runCase } from "../harness/run_case.mjs";
import { createEngineDescription } from "../harness/settings.mjs";
import { Trainer } from "../harness/trainer.mjs";

const MODEL = "m0";
const PREFIX = "/pule252/";
const LOT = "7c41e09b52d6a3f8";
const GROUPS = 4;
const GROUP_SIZE = 4;
const EVENTS = 20;
const EVENT_MILLISECONDS = 150;
/** Number of engines by service; the one that leaves is a share of 0.125. */
const ENGINES = { former: 1, other: 7 };
/** Longer than `config_apply_ms`. */
const DRAIN_AFTER_MILLISECONDS = 2500;
/** An engine serves for `drain_ms` and some seconds longer, so that all its runs end. */
const LEAVE_MILLISECONDS = 5000;
/** The trainer's time for the step, below `item_ttl_s`. */
const TRAINER_MILLISECONDS = 30_000;
/** Time at no engine from which the rule counts an item, and in which the engines must not be full. */
const IDLE_MILLISECONDS = 5000;

function createConfiguration(version, service) {
  const engine = createEngineDescription(4, [MODEL]);
  return {
    version,
    routes: [{
      name: "r-steps",
      prefix: PREFIX,
      kind: "rollout",
      "timeout_ms": 10000,
      "target_latency_ms": 500,
      "result_deadline_ms": 20000,
      "item_ttl_s": 40,
      "max_attempts": 3,
      priority: 0,
      sticky: true,
      service,
    }],
    services: [{ name: "former", engine }, { name: "other", engine }],
  };
}

await runCase(
  new URL("./", import.meta.url),
  async ({ deployment, record, hasTrouble }) => {
    await deployment.configure(createConfiguration(1, "former"));
    const arrivals = new Map();
    const toPlan = (item) => {
      arrivals.set(item, record.now);
      return { events: EVENTS, eventMilliseconds: EVENT_MILLISECONDS };
    };
    for (const [service, count] of Object.entries(ENGINES)) {
      for (let number = 1; number <= count; number += 1) {
        await deployment.startEngine(service, {
          identifier: `${service}-${number}`,
          slots: 4,
          models: new Map([[MODEL, 1]]),
          toPlan,
        });
      }
    }
    const [node] = await Promise.all(
      ["cluj-a", "iasi-b", "suceava-c"].map((zone, index) =>
        deployment.startNode(`front-${zone}-${index + 1}`, zone)
      ),
    );
    await sleep(3000);
    const groups = new Map(
      Array.from({ length: GROUPS }, (_none, group) => [
        `g${group}`,
        Array.from({ length: GROUP_SIZE }, (_, item) => `i${group}${item}`),
      ]),
    );
    const items = [...groups.values()].flat();
    const trainer = new Trainer(record);
    await trainer.submitUntilAccepted(node, LOT, {
      step: 1,
      model: MODEL,
      prefix: PREFIX,
      minimumVersion: 1,
      targetGroups: GROUPS,
      groups,
    });
    const reading = trainer.readUntil(node, LOT, {
      condition: (results) => results.length === items.length,
      milliseconds: TRAINER_MILLISECONDS,
    });
    let service = "former";
    const use = new EngineUse(() =>
      deployment.engines.filter((engine) => engine.service === service)
    );
    if (hasTrouble) {
      await sleep(1000);
      await deployment.configure(createConfiguration(2, "other"));
      service = "other";
      await sleep(DRAIN_AFTER_MILLISECONDS);
      const [former] = deployment.engines;
      await deployment.drainEngine(former, LEAVE_MILLISECONDS);
    }
    const results = await reading;
    const share = use.findLargest(IDLE_MILLISECONDS);
    const listed = new Set(results.map(({ id }) => id));
    const lost = items.filter((item) =>
      !listed.has(item) && !arrivals.has(item)
    );
    await trainer.end(node, LOT);
    record.add(
      `in the last ${IDLE_MILLISECONDS} ms, at most ${
        Math.round(100 * share)
      } in 100 slots of the route's engines were taken`,
    );
    if (lost.length === 0 || arrivals.size === 0 || share >= 0.5) return [];
    return [
      `LOST: the step ran out of time; ${lost.length} of its ${items.length} items were never at an engine (${
        lost.join(" ")
      }), while at most ${
        Math.round(100 * share)
      } in 100 slots of the route's engines were taken`,
    ];
  },
);
