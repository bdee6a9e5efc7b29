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

/** A fault in a run of a property-based test. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  /** Index of the node that the fault affects. */
  readonly nodeIndex: number;
  /** Time from the start of the schedule. */
  readonly atMilliseconds: number;
  /** Duration of the fault; size of the step for a step of the wall clock. */
  readonly milliseconds: number;
}

/**
 * Kind of a fault. `stop`: the node stops. `suspend`: the node stops and its monotonic clock halts.
 * `stepForward`, `stepBack`: the wall clock of the node is stepped. The other kinds change how the
 * platform handles the node's calls, all with random delays. `refuse`: a request is not sent.
 * `drop`: a request is lost. `loseAnswers`: a request takes effect, but its response is lost.
 * `slow`: calls are only delayed. `late`: a request takes effect, possibly after the node has timed
 * out.
 * `mixed`: one of these for each call, at random.
 */
export type FaultKind =
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

const INJECTORS: Readonly<Record<FaultKind, Injector>> = {
  stop: (node, milliseconds) => {
    void node.clock.stop({ milliseconds, haltsMonotonic: false });
  },
  suspend: (node, milliseconds) => {
    void node.clock.stop({ milliseconds, haltsMonotonic: true });
  },
  stepForward: (node, milliseconds) => node.clock.stepWall(milliseconds),
  stepBack: (node, milliseconds) => node.clock.stepWall(-milliseconds),
  refuse: createCallFaultInjector(() => "refused"),
  drop: createCallFaultInjector(() => "dropped"),
  loseAnswers: createCallFaultInjector(() => "answerLost"),
  slow: createCallFaultInjector(() => "answered"),
  late: createCallFaultInjector(() => "late"),
  mixed: createCallFaultInjector((random) =>
    (["answered", "refused", "dropped", "answerLost", "late"] as const)[
      random.nextBelow(5)
    ] ?? "answered"
  ),
};

/** Creates an arbitrary that generates fault schedules for a number of nodes. */
export function createScheduleArbitrary(
  nodeCount: number,
  durationMilliseconds: number,
): fc.Arbitrary<ReadonlyArray<ScheduledFault>> {
  const kinds = Object.keys(INJECTORS) as FaultKind[];
  const fault = fc.record({
    kind: fc.constantFrom(...kinds),
    nodeIndex: fc.nat(nodeCount - 1),
    atMilliseconds: fc.nat(durationMilliseconds),
    milliseconds: fc.integer({ min: 100, max: 12_000 }),
  });
  return fc.array(fault, { minLength: 2, maxLength: 14 });
}

/**
 * Injects each fault of a schedule at its time.
 * @param schedule - Faults with their times in milliseconds from the call of this function.
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
    const node = nodes[fault.nodeIndex];
    if (node === undefined) return;
    INJECTORS[fault.kind](node, fault.milliseconds, { clock, random });
  }));
}

function createCallFaultInjector(
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
