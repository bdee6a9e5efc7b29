// deno-lint-ignore-file explicit-function-return-type
// One open channel of a node to the store goes silent while a trainer ends a step and submits the next
// one, in which the groups that were not complete appear again.
import { sleep } from "../harness/client.mjs";
import { runCase } from "../harness/run_case.mjs";
import { createEngineDescription } from "../harness/settings.mjs";
import { Trainer } from "../harness/trainer.mjs";

const MODEL = "m0";
const PREFIX = "/pule252/";
const SLOTS = 4;
const ENGINES = 6;
const EVENTS = 10;
const EVENT_MILLISECONDS = 100;
const GROUP_SIZE = 4;
/** More than the engines run in the trainer's time, so that some groups do not begin. */
const GROUPS = 100;
const TARGET_GROUPS = 90;
/** The trainer's time for a step and for the training after it, as in the sheets. */
const TRAINER_MILLISECONDS = 12_000;
const TRAINING_MILLISECONDS = 500;
/** Time for which the results of the second step are read, below `item_ttl_s`. */
const READING_MILLISECONDS = 30_000;
const STEPS = [
  { lot: "7c41e09b52d6a3f8", step: 2, minimumVersion: 1 },
  { lot: "2f0ab7716e94d05c", step: 3, minimumVersion: 2 },
];

function createConfiguration() {
  return {
    version: 1,
    routes: [{
      name: "r-steps",
      prefix: PREFIX,
      kind: "rollout",
      "timeout_ms": 10000,
      "target_latency_ms": 500,
      "result_deadline_ms": 7500,
      "item_ttl_s": 40,
      "max_attempts": 3,
      priority: 0,
      sticky: true,
      service: "engines",
    }],
    services: [{
      name: "engines",
      engine: createEngineDescription(SLOTS, [MODEL, "m1", "m2"]),
    }],
  };
}

function createGroups(step, count) {
  return Array.from({ length: count }, (_none, group) => [
    `s${step}g${group}`,
    Array.from(
      { length: GROUP_SIZE },
      (_, item) => `s${step}g${group}i${item}`,
    ),
  ]);
}

function listIncomplete(groups, results) {
  const listed = new Set(results.map(({ id }) => id));
  return groups.filter(([, items]) => items.some((item) => !listed.has(item)));
}

await runCase(
  new URL("./", import.meta.url),
  async ({ deployment, record, hasTrouble }) => {
    await deployment.configure(createConfiguration());
    for (let number = 1; number <= ENGINES; number += 1) {
      await deployment.startEngine("engines", {
        identifier: `engine-${number}`,
        slots: SLOTS,
        models: new Map([[MODEL, 1], ["m1", 1], ["m2", 1]]),
        toPlan: () => ({
          events: EVENTS,
          eventMilliseconds: EVENT_MILLISECONDS,
        }),
      });
    }
    const nodes = await Promise.all(
      ["cluj-a", "iasi-b", "suceava-c"].map((zone, index) =>
        deployment.startNode(`front-${zone}-${index + 1}`, zone)
      ),
    );
    await sleep(3000);
    await deployment.nameVersion(MODEL, 2);
    await sleep(1500);
    const trainer = new Trainer(record);
    const [first, second] = STEPS;
    const groups = createGroups(first.step, GROUPS);
    const common = {
      model: MODEL,
      prefix: PREFIX,
      targetGroups: TARGET_GROUPS,
    };
    await trainer.submitUntilAccepted(nodes[0], first.lot, {
      ...common,
      ...first,
      groups: new Map(groups),
    });
    const results = await trainer.readUntil(nodes[0], first.lot, {
      condition: (read) =>
        GROUPS - listIncomplete(groups, read).length >= TARGET_GROUPS,
      milliseconds: TRAINER_MILLISECONDS,
    });
    const owner = nodes.find(({ log }) =>
      log.includes("durableStepRunStarted") && log.includes(first.lot)
    );
    const other = nodes.find((node) => node !== owner);
    if (owner === undefined) throw new Error("No node runs the step");
    record.add(`${owner.name} runs ${first.lot}`);
    if (hasTrouble) {
      const silent = await owner.proxy.silenceAtNextCall(
        /^GET \/-\/rows-feed\?table=steps&/,
      );
      record.add(
        `an open channel from ${owner.name} to the store goes silent at ${silent}`,
      );
    }
    const status = await trainer.end(other, first.lot);
    if (status !== 200) throw new Error("The end was not acknowledged");
    await sleep(TRAINING_MILLISECONDS);
    await deployment.nameVersion(MODEL, second.step);
    // At most half of the groups that the trainer waits for appear again, and they come first.
    const again = listIncomplete(groups, results)
      .slice(-Math.floor(TARGET_GROUPS / 2));
    record.add(`${again.length} groups appear again`);
    await trainer.submitUntilAccepted(owner, second.lot, {
      ...common,
      ...second,
      groups: new Map([
        ...again,
        ...createGroups(second.step, GROUPS - again.length),
      ]),
    });
    const read = await trainer.readUntil(other, second.lot, {
      condition: (list) => listIncomplete(again, list).length === 0,
      milliseconds: READING_MILLISECONDS,
    });
    await trainer.end(other, second.lot);
    const old = read.filter(({ state, versions }) =>
      state === "completed" &&
      versions.some((version) => version < second.minimumVersion)
    );
    return old.map(({ id, versions, output }) =>
      `VERSION: ${id} of ${second.lot} (min_version ${second.minimumVersion}) is completed with versions ${
        JSON.stringify(versions)
      }; its first event is "${output.split("\n")[0]}"`
    );
  },
);
