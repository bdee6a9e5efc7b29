import type { TestInstallation } from "./test_installation.ts";

type Json = Readonly<Record<string, unknown>>;

/** Reads the configuration that the operator wrote last. */
export async function readConfiguration(
  { table }: TestInstallation,
): Promise<Json> {
  const page = await table.read("op", { partition: "" });
  if (page.kind !== "ok") throw new Error("The store does not answer");
  const row = page.value.rows.find(({ key }) => key === "config");
  return JSON.parse(row?.value.toString() ?? "{}");
}

/** Writes a configuration in which a route has other fields, or which does not have it. */
export async function changeRoute(
  world: TestInstallation,
  name: string,
  fields: Json | undefined,
): Promise<void> {
  const { version, routes, ...rest } = await readConfiguration(world);
  const others = (routes as ReadonlyArray<Json>).filter((route) =>
    route["name"] !== name
  );
  const changed = fields === undefined ? [] : [fields];
  await world.putRow("op", "config", {
    ...rest,
    version: Number(version) + 1,
    routes: [...others, ...changed],
  });
}

/** Writes a configuration with one more service, which is like another one. */
export async function addService(
  world: TestInstallation,
  { name, like }: { readonly name: string; readonly like: string },
): Promise<void> {
  const { version, services, ...rest } = await readConfiguration(world);
  const known = services as ReadonlyArray<Json>;
  const model = known.find((service) => service["name"] === like);
  await world.putRow("op", "config", {
    ...rest,
    version: Number(version) + 1,
    services: [...known, { ...model, name }],
  });
}

/** Finds a route of the configuration by its name; an empty object without it. */
export async function findRoute(
  world: TestInstallation,
  name: string,
): Promise<Json> {
  const { routes } = await readConfiguration(world);
  const route = (routes as ReadonlyArray<Json>).find((each) =>
    each["name"] === name
  );
  return route ?? {};
}
