import { callNode } from "./call_node.ts";
import type {
  InstallationNode,
  TestInstallation,
} from "./test_installation.ts";

/** The node that a call is sent to. */
export type CalledNode = Pick<InstallationNode, "name" | "caller">;

/** How one call ended. */
export interface CallResult<Node extends CalledNode> {
  readonly node: Node;
  /** Status of the answer; 0 if there was none. */
  readonly status: number;
  /** Monotonic time at which the call was sent, in milliseconds. */
  readonly sentAt: number;
  /** Time to return that the answer names, in seconds; "undefined" if it names none. */
  readonly retryAfter: string;
}

/** Sends calls to nodes in turn and returns how each ended. */
export async function sendCalls<Node extends CalledNode>(
  { world, nodes }: {
    readonly world: TestInstallation;
    readonly nodes: ReadonlyArray<Node>;
  },
  options: {
    /** Returns the path of a call by its number. */
    readonly path: (index: number) => string;
    readonly milliseconds: number;
    readonly intervalMilliseconds: number;
    /** Number of calls that are sent even if that takes longer; 0 if absent. */
    readonly minimumCalls?: number;
  },
): Promise<ReadonlyArray<CallResult<Node>>> {
  const { path, milliseconds, intervalMilliseconds, minimumCalls = 0 } =
    options;
  const end = performance.now() + milliseconds;
  const calls: Promise<CallResult<Node>>[] = [];
  for (
    let index = 0;
    performance.now() < end || index < minimumCalls;
    index += 1
  ) {
    const node = nodes[index % nodes.length];
    if (node === undefined) break;
    const sentAt = performance.now();
    const call = callNode(world, node, {
      method: "GET",
      path: path(index),
      identifier: `${path(index)}-${index}`,
      headers: { "deadline-ms": "1500" },
    });
    calls.push(
      call.then(
        ({ status, headers }) => ({
          node,
          status,
          sentAt,
          retryAfter: String(headers["retry-after"]),
        }),
        () => ({ node, status: 0, sentAt, retryAfter: "undefined" }),
      ),
    );
    await new Promise((resolve) => setTimeout(resolve, intervalMilliseconds));
  }
  return await Promise.all(calls);
}
