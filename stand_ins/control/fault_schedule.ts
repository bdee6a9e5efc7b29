import fc from "fast-check";
import type { Clock } from "../../source/utilities/clock.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";
import {
  type CallBehaviour,
  FAST_RESPONSE,
} from "../platform/local_platform.ts";
import { ORDER_DEADLINE_MILLISECONDS } from "./control_node.ts";
import type { ControlNode } from "./control_node.ts";

const MAXIMUM_CONNECT_DELAY_MILLISECONDS = 300;
const MAXIMUM_REQUEST_DELAY_MILLISECONDS = ORDER_DEADLINE_MILLISECONDS;
const MAXIMUM_RESPONSE_DELAY_MILLISECONDS = ORDER_DEADLINE_MILLISECONDS / 2;

/** A fault of a randomized run. */
export interface ScheduledFault {
  readonly kind: FaultName;
  readonly node: number;
  readonly atMilliseconds: number;
  readonly milliseconds: number;
}

/** Kinds of fault in a randomized run. */
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
  refuse: createCallInjector(() => "refused"),
  drop: createCallInjector(() => "dropped"),
  loseAnswers: createCallInjector(() => "answerLost"),
  slow: createCallInjector(() => "answered"),
  late: createCallInjector(() => "late"),
  mixed: createCallInjector((random) =>
    (["answered", "refused", "dropped", "answerLost", "late"] as const)[
      random.nextBelow(5)
    ] ?? "answered"
  ),
};

/** Creates an arbitrary that generates fault schedules for a number of nodes. */
export function createScheduleArbitrary(
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
 * Injects each fault of a schedule at its time.
 * @param schedule - Faults with their times in milliseconds from the call.
 * @param nodes - Nodes that the faults refer to by index.
 * @param options - Shared clock, and seed of the random delays and outcomes.
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

function createCallInjector(
  chooseKind: (random: RandomSource) => CallBehaviour["kind"],
): Injector {
  return (node, milliseconds, { clock, random }) => {
    const chooseBehaviour = (): CallBehaviour => ({
      kind: chooseKind(random),
      connectDelayMilliseconds: random.nextBelow(
        MAXIMUM_CONNECT_DELAY_MILLISECONDS,
      ),
      requestDelayMilliseconds: random.nextBelow(
        MAXIMUM_REQUEST_DELAY_MILLISECONDS,
      ),
      responseDelayMilliseconds: random.nextBelow(
        MAXIMUM_RESPONSE_DELAY_MILLISECONDS,
      ),
    });
    node.chooseBehaviour = chooseBehaviour;
    void clock.sleep(milliseconds).then(() => {
      if (node.chooseBehaviour === chooseBehaviour) {
        node.chooseBehaviour = () => FAST_RESPONSE;
      }
    });
  };
}
