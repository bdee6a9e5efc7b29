import fc from "fast-check";
import type { Clock } from "../../source/utilities/clock.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";
import { type CallFate, PROMPT_ANSWER } from "../platform/local_platform.ts";
import { ORDER_DEADLINE_MILLISECONDS } from "./control_node.ts";
import type { ControlNode } from "./control_node.ts";

const MAXIMUM_CONNECT_MILLISECONDS = 300;
const MAXIMUM_SEND_MILLISECONDS = ORDER_DEADLINE_MILLISECONDS;
const MAXIMUM_ANSWER_MILLISECONDS = ORDER_DEADLINE_MILLISECONDS / 2;

/** One failure of a random run. */
export interface ScheduledFault {
  readonly kind: FaultName;
  readonly node: number;
  readonly atMilliseconds: number;
  readonly milliseconds: number;
}

/** Kinds of failure of a random run. */
export type FaultName =
  | "stop"
  | "suspend"
  | "stepForward"
  | "stepBack"
  | "refuse"
  | "drop"
  | "loseAnswers"
  | "slow"
  | "late"
  | "mixed";

type Injector = (node: ControlNode, milliseconds: number, context: {
  readonly clock: Clock;
  readonly random: RandomSource;
}) => void;

const INJECTORS: Readonly<Record<FaultName, Injector>> = {
  stop: (node, milliseconds) => {
    void node.clock.stop({ milliseconds, haltsMonotonic: false });
  },
  suspend: (node, milliseconds) => {
    void node.clock.stop({ milliseconds, haltsMonotonic: true });
  },
  stepForward: (node, milliseconds) => node.clock.stepWall(milliseconds),
  stepBack: (node, milliseconds) => node.clock.stepWall(-milliseconds),
  refuse: injectFate(() => "refused"),
  drop: injectFate(() => "dropped"),
  loseAnswers: injectFate(() => "answerLost"),
  slow: injectFate(() => "answered"),
  late: injectFate(() => "late"),
  mixed: injectFate((random) =>
    (["answered", "refused", "dropped", "answerLost", "late"] as const)[
      random.below(5)
    ] ?? "answered"
  ),
};

/** Random schedules of failures for some nodes. */
export function arbitrarySchedule(
  nodes: number,
  durationMilliseconds: number,
): fc.Arbitrary<ReadonlyArray<ScheduledFault>> {
  const kinds = Object.keys(INJECTORS) as FaultName[];
  const fault = fc.record({
    kind: fc.constantFrom(...kinds),
    node: fc.nat(nodes - 1),
    atMilliseconds: fc.nat(durationMilliseconds),
    milliseconds: fc.integer({ min: 100, max: 12_000 }),
  });
  return fc.array(fault, { minLength: 2, maxLength: 14 });
}

/**
 * Brings the failures about when their time comes.
 * @param schedule - The failures.
 * @param nodes - The nodes that they hit.
 * @param options - The shared clock and the seed of mixed failures.
 */
export async function runSchedule(
  schedule: ReadonlyArray<ScheduledFault>,
  nodes: ReadonlyArray<ControlNode>,
  options: { readonly clock: Clock; readonly seed: number },
): Promise<void> {
  const { clock } = options;
  const random = createRandomSource(options.seed);
  await Promise.all(schedule.map(async (fault) => {
    await clock.sleep(fault.atMilliseconds);
    const node = nodes[fault.node];
    if (node === undefined) return;
    INJECTORS[fault.kind](node, fault.milliseconds, { clock, random });
  }));
}

function injectFate(
  chooseKind: (random: RandomSource) => CallFate["kind"],
): Injector {
  return (node, milliseconds, { clock, random }) => {
    const decide = (): CallFate => ({
      kind: chooseKind(random),
      connectMilliseconds: random.below(MAXIMUM_CONNECT_MILLISECONDS),
      sendMilliseconds: random.below(MAXIMUM_SEND_MILLISECONDS),
      answerMilliseconds: random.below(MAXIMUM_ANSWER_MILLISECONDS),
    });
    node.decideFate = decide;
    void clock.sleep(milliseconds).then(() => {
      if (node.decideFate === decide) node.decideFate = () => PROMPT_ANSWER;
    });
  };
}
