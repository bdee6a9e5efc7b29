import { type InProcessNode, startInProcessNode } from "./in_process_nodes.ts";
import type { MemoryDurableTable } from "./memory_durable_table.ts";
import type { ArrivedRequest } from "./request_limit.ts";
import {
  type ScriptedPlainServer,
  startScriptedPlainServer,
} from "./scripted_plain_server.ts";
import {
  startTestInstallation,
  type TestInstallation,
  type TestInstallationOptions,
} from "./test_installation.ts";

/** Servers of two failure domains, "a" with two engines and "b" with the others. */
export interface EvacuationScene {
  readonly world: TestInstallation;
  readonly nodes: ReadonlyArray<InProcessNode>;
  /** Plain servers by failure domain. */
  readonly plain: Readonly<Record<"a" | "b", ScriptedPlainServer>>;
  /** Returns the requests that arrived at the servers of a failure domain from a time on. */
  readonly requestsAt: (
    failureDomain: string,
    since: number,
  ) => ReadonlyArray<ArrivedRequest>;
  readonly close: () => Promise<void>;
}

/** Starts a store, servers of two failure domains, and nodes in this process. */
export async function startEvacuationScene(
  nodeNames: ReadonlyArray<string>,
  options: TestInstallationOptions = {},
): Promise<EvacuationScene> {
  const world = await startTestInstallation(options);
  const { table, engines } = world;
  await table.commit({
    conditions: [],
    puts: [],
    deletes: [{ table: "servers", partition: "", key: "p1" }],
  });
  for (const identifier of ["e3", "e4"]) await moveToB(table, identifier);
  const plain = {
    a: await startScriptedPlainServer(table, {
      identifier: "pa",
      failureDomain: "a",
    }),
    b: await startScriptedPlainServer(table, {
      identifier: "pb",
      failureDomain: "b",
    }),
  };
  const limits = [
    ...engines.map(({ limit }, index) => ({
      failureDomain: index < 2 ? "a" : "b",
      limit,
    })),
    plain.a,
    plain.b,
  ];
  const nodes = await Promise.all(
    nodeNames.map((name) => startInProcessNode(table, name)),
  );
  return {
    world,
    nodes,
    plain,
    requestsAt: (failureDomain, since) =>
      limits.filter((server) => server.failureDomain === failureDomain)
        .flatMap(({ limit }) => limit.requests)
        .filter(({ at }) => at >= since),
    close: async () => {
      await Promise.all(nodes.map(({ stop }) => stop()));
      plain.a.close();
      plain.b.close();
      world.close();
    },
  };
}

/** Writes the row that evacuates a failure domain. */
export async function evacuate(
  table: MemoryDurableTable,
  failureDomain: string,
): Promise<void> {
  const value = Buffer.from("{}");
  await table.commit({
    conditions: [],
    puts: [{ ...toPlace(failureDomain), value }],
  });
}

/** Deletes the row that evacuates a failure domain. */
export async function endEvacuation(
  table: MemoryDurableTable,
  failureDomain: string,
): Promise<void> {
  await table.commit({
    conditions: [],
    puts: [],
    deletes: [toPlace(failureDomain)],
  });
}

function toPlace(
  failureDomain: string,
): {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
} {
  return { table: "op", partition: "", key: `evacuate/${failureDomain}` };
}

async function moveToB(
  table: MemoryDurableTable,
  identifier: string,
): Promise<void> {
  const read = await table.read("servers", { partition: "", from: identifier });
  const row = read.kind === "ok" ? read.value.rows[0] : undefined;
  if (row?.key !== identifier) throw new Error(`No entry of ${identifier}`);
  const entry = JSON.parse(row.value.toString());
  const value = Buffer.from(JSON.stringify({ ...entry, zone: "b" }));
  await table.commit({
    conditions: [],
    puts: [{ table: "servers", partition: "", key: identifier, value }],
  });
}
