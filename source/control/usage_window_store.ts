import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import {
  UsageAdjustmentSchema,
  UsageWindowRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { Row, RowCondition } from "../platform/table_client.ts";
import type {
  ReportedAdjustment,
  ReportedFigures,
} from "../platform/usage_report_client.ts";
import { type HeldLease, LEASE_TABLE } from "./lease_elector.ts";
import { fromMessage, toMessage } from "./usage_figures.ts";

const WINDOW_TABLE = "usage_windows";
const ACCEPTED_TABLE = "usage_accepted";
const FLOOR_TABLE = "usage_floor";
const FLOOR_KEY = "floor";
const NUMBER_DIGITS = 15;
const MAXIMUM_ROWS = 10_000;
const MAXIMUM_DELETED_AT_ONCE = 100;

/** Figures of one organisation in one window, written once and never changed. */
export interface FrozenWindow {
  /** Start of the window, in milliseconds since the Unix epoch. */
  readonly windowStart: number;
  readonly organisation: string;
  readonly figures: ReportedFigures;
  readonly adjustments: ReadonlyArray<ReportedAdjustment>;
}

/** A frozen window as read from the table. */
export interface ListedWindow extends FrozenWindow {
  /** Whether the platform is known to have answered the window's report. */
  readonly isAccepted: boolean;
}

/** All frozen windows, and the floor below which windows are closed. */
export interface WindowList {
  /** The frozen windows in ascending order. */
  readonly windows: ReadonlyArray<ListedWindow>;
  /** Windows that start before this time are closed permanently; in milliseconds since the Unix epoch. */
  readonly floor: number;
  readonly floorVersion: number;
}

/** Reads and writes the rows of frozen windows and of accepted reports. */
export class UsageWindowStore {
  readonly #context: NodeContext;

  /** @param context - The node context. */
  constructor(context: NodeContext) {
    this.#context = context;
  }

  /** Lists the frozen windows in ascending order, and reads the floor. */
  async list(): Promise<PlatformOutcome<WindowList>> {
    const { table } = this.#context.platform;
    const range = { prefix: "", maximum: MAXIMUM_ROWS };
    const floor = await table.get(FLOOR_TABLE, FLOOR_KEY);
    if (floor.kind !== "ok") return floor;
    const frozen = await table.list(WINDOW_TABLE, range);
    if (frozen.kind !== "ok") return frozen;
    const accepted = await table.list(ACCEPTED_TABLE, range);
    if (accepted.kind !== "ok") return accepted;
    const keys = new Set(accepted.value.map(({ key }) => key));
    return {
      kind: "ok",
      value: {
        windows: frozen.value.map((row) => readWindow(row, keys)),
        floor: Number(floor.value?.value ?? 0),
        floorVersion: floor.value?.version ?? 0,
      },
    };
  }

  /**
   * Writes a window if it is absent, in a transaction that commits only while this node holds the
   * lease and the floor is unchanged since the window was planned.
   * @returns Whether this write is known to have committed; if not, the row may exist all the same.
   */
  async freeze(
    window: FrozenWindow,
    options: { readonly held: HeldLease; readonly floorVersion: number },
  ): Promise<boolean> {
    const { held, floorVersion } = options;
    const key = windowKey(window);
    return await this.#commit({
      conditions: [
        { table: LEASE_TABLE, key: held.name, version: held.rowVersion },
        { table: FLOOR_TABLE, key: FLOOR_KEY, version: floorVersion },
        { table: WINDOW_TABLE, key, version: 0 },
      ],
      key,
      value: encodeWindow(window, held.fencingNumber),
      table: WINDOW_TABLE,
    });
  }

  /** Returns whether the platform is known to have answered the report of a window. */
  async isAccepted(
    window: Pick<FrozenWindow, "windowStart" | "organisation">,
  ): Promise<boolean> {
    const key = windowKey(window);
    const { table } = this.#context.platform;
    const outcome = await table.get(ACCEPTED_TABLE, key);
    return outcome.kind === "ok" && outcome.value !== undefined;
  }

  /**
   * Records that the platform has answered a report, so that the report is not sent again; returns
   * whether the record is known to have been written.
   */
  async markAccepted(window: FrozenWindow, result: string): Promise<boolean> {
    const key = windowKey(window);
    const input = { conditions: [], key, value: result, table: ACCEPTED_TABLE };
    return await this.#commit(input);
  }

  /**
   * Raises the floor and deletes up to 100 windows below it, in a transaction that commits only
   * while this node holds the lease and the floor is unchanged since the list was read.
   */
  async raiseFloor(
    floor: number,
    options: { readonly list: WindowList; readonly held: HeldLease },
  ): Promise<void> {
    const { list, held } = options;
    const version = list.floorVersion;
    const closedKeys = list.windows.filter(({ windowStart }) =>
      windowStart < floor
    )
      .slice(0, MAXIMUM_DELETED_AT_ONCE).map(windowKey);
    await this.#context.platform.table.commit({
      conditions: [
        { table: LEASE_TABLE, key: held.name, version: held.rowVersion },
        { table: FLOOR_TABLE, key: FLOOR_KEY, version },
      ],
      writes: [
        { table: FLOOR_TABLE, key: FLOOR_KEY, value: String(floor) },
        ...closedKeys.flatMap((key) => [
          { table: WINDOW_TABLE, key, value: undefined },
          { table: ACCEPTED_TABLE, key, value: undefined },
        ]),
      ],
    });
  }

  async #commit(input: {
    readonly conditions: ReadonlyArray<RowCondition>;
    readonly table: string;
    readonly key: string;
    readonly value: string;
  }): Promise<boolean> {
    const { conditions, table, key, value } = input;
    const outcome = await this.#context.platform.table.commit({
      conditions,
      writes: [{ table, key, value }],
    });
    return outcome.kind === "ok" && outcome.value.kind === "committed";
  }
}

function windowKey(
  window: Pick<FrozenWindow, "windowStart" | "organisation">,
): string {
  const start = String(window.windowStart).padStart(NUMBER_DIGITS, "0");
  return `${start}/${window.organisation}`;
}

function encodeWindow(window: FrozenWindow, fencingNumber: number): string {
  return toJsonString(
    UsageWindowRecordSchema,
    create(UsageWindowRecordSchema, {
      windowStartUnixMilliseconds: BigInt(window.windowStart),
      organisation: window.organisation,
      figures: toMessage(window.figures),
      adjustments: window.adjustments.map((adjustment) =>
        create(UsageAdjustmentSchema, {
          windowStartUnixMilliseconds: BigInt(adjustment.windowStart),
          figures: toMessage(adjustment.figures),
        })
      ),
      fencingNumber: BigInt(fencingNumber),
    }),
  );
}

function readWindow(row: Row, accepted: ReadonlySet<string>): ListedWindow {
  const record = fromJsonString(UsageWindowRecordSchema, row.value);
  return {
    windowStart: Number(record.windowStartUnixMilliseconds),
    organisation: record.organisation,
    figures: fromMessage(record.figures),
    adjustments: record.adjustments.map((adjustment) => ({
      windowStart: Number(adjustment.windowStartUnixMilliseconds),
      figures: fromMessage(adjustment.figures),
    })),
    isAccepted: accepted.has(row.key),
  };
}
