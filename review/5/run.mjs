// deno-lint-ignore-file explicit-function-return-type
// A version of the configuration splits the route of batch submissions between two services.
import { sleep } from "../harness/client.mjs";
import { EngineUse } from "../harness/engine_use.mjs";
import { runCase } from "../harness/run_case.mjs";
import { createEngineDescription } from "../harness/settings.mjs";
import { Trainer } from "../harness/trainer.mjs";

const MODEL = "m0";
const PREFIX = "/pule252/";
const LOT = "7c41e09b52d6a3f8";
const GROUPS = 16;
const GROUP_SIZE = 4;
const EVENTS = 20;
const EVENT_MILLISECONDS = 150;
/** Number of engines by service. */
const ENGINES = { first: 1, second: 3 };
/** Longer than `config_apply_ms`. */
const SUBMITTED_AFTER_MILLISECONDS = 2500;
/** The trainer's time for the step, below `item_ttl_s`. */
const TRAINER_MILLISECONDS = 30_000;
/** Time at no engine from which the rule counts an item, and in which the engines must not be full. */
const IDLE_MILLISECONDS = 5000;

function createConfiguration(version, target) {
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
      ...target,
    }],
    services: [{ name: "first", engine }, { name: "second", engine }],
  };
}

await runCase(
  new URL("./", import.meta.url),
  async ({ deployment, record, hasTrouble }) => {
    await deployment.configure(createConfiguration(1, { service: "second" }));
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
    if (hasTrouble) {
      const split = [
        { service: "first", weight: 25 },
        { service: "second", weight: 75 },
      ];
      await deployment.configure(createConfiguration(2, { split }));
      await sleep(SUBMITTED_AFTER_MILLISECONDS);
    }
    const trainer = new Trainer(record);
    await trainer.submitUntilAccepted(node, LOT, {
      step: 1,
      model: MODEL,
      prefix: PREFIX,
      minimumVersion: 1,
      targetGroups: GROUPS,
      groups,
    });
    const inForce = hasTrouble ? ["first", "second"] : ["second"];
    const use = new EngineUse(() =>
      deployment.engines.filter(({ service }) => inForce.includes(service))
    );
    const reading = trainer.readUntil(node, LOT, {
      condition: (results) => results.length === items.length,
      milliseconds: TRAINER_MILLISECONDS,
    });
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
