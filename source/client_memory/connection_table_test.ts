import test from "ava";
import { ConnectionTable } from "./connection_table.ts";

interface TestConnection {
  readonly name: string;
  isClosed: boolean;
  destroy(): void;
}

function createConnection(name: string): TestConnection {
  return {
    name,
    isClosed: false,
    destroy(): void {
      this.isClosed = true;
    },
  };
}

function createTable(
  limit: number,
): {
  readonly table: ConnectionTable<TestConnection>;
  readonly closed: () => number;
} {
  let closed = 0;
  const table = new ConnectionTable<TestConnection>(limit, () => closed += 1);
  return { table, closed: () => closed };
}

test("beyond the limit the oldest connection without a request is closed", (t) => {
  const { table, closed } = createTable(2);
  const [used, first, second] = ["used", "first", "second"].map(
    createConnection,
  ) as [TestConnection, TestConnection, TestConnection];
  table.add(used);
  table.recordRequest(used);
  table.recordAnswer(used);
  table.add(first);
  table.add(second);
  t.deepEqual([used.isClosed, first.isClosed, second.isClosed], [
    false,
    true,
    false,
  ]);
  t.deepEqual([table.size, closed()], [2, 1]);
});

test("then the connection that has been idle for longest is closed", (t) => {
  const { table } = createTable(3);
  const connections = ["a", "b", "c"].map(createConnection);
  for (const connection of connections) {
    table.add(connection);
    table.recordRequest(connection);
  }
  for (const index of [1, 0, 2]) {
    table.recordAnswer(connections[index] as TestConnection);
  }
  table.add(createConnection("new"));
  t.deepEqual(connections.map(({ isClosed }) => isClosed), [
    false,
    true,
    false,
  ]);
});

// Guards against cutting off a request to make room for a new connection.
test("connections with requests are kept, and new ones refused", (t) => {
  const { table } = createTable(1);
  const busy = createConnection("busy");
  table.add(busy);
  t.is(table.recordRequest(busy), 1);
  t.is(table.recordRequest(busy), 2);
  const refused = createConnection("new");
  table.add(refused);
  t.deepEqual([busy.isClosed, refused.isClosed, table.size], [false, true, 1]);
});
