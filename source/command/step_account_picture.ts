import { parse, View } from "vega";
import {
  type StepAccount,
  type StepAccounts,
  TIME_CAUSES,
} from "../observability/step_account.ts";

const PLOT_WIDTH_PIXELS = 1100;
const LANE_HEIGHT_PIXELS = 26;
const COLOURS: ReadonlyArray<string> = [
  "#9c755f",
  "#bab0ac",
  "#e15759",
  "#f28e2b",
  "#edc948",
  "#76b7b2",
  "#59a14f",
  "#8cd17d",
  "#b07aa1",
  "#4e79a7",
  "#ff9da7",
];

interface Segment {
  readonly lane: string;
  readonly from: number;
  readonly to: number;
  readonly cause: string;
}

/**
 * Draws one bar for each step, from its submission until its last needed group was listed, divided
 * by the causes of that group's time, with a mark where the results were due.
 * @param accounts - The account of all steps.
 * @returns An SVG document.
 * @example
 * ```ts
 * writeFileSync("steps.svg", await drawAccounts(accounts));
 * ```
 */
export function drawAccounts(accounts: StepAccounts): Promise<string> {
  const segments = accounts.steps.flatMap(toSegments);
  const due = accounts.steps.map((step) => ({
    lane: toLane(step),
    at: (step.submittedMilliseconds + step.dueMilliseconds) / 1000,
  }));
  const lanes = [...new Set(due.map(({ lane }) => lane))].sort();
  const view = new View(
    parse({
      width: PLOT_WIDTH_PIXELS,
      height: LANE_HEIGHT_PIXELS * lanes.length,
      padding: 8,
      background: "white",
      data: [{ name: "segments", values: segments }, {
        name: "due",
        values: due,
      }],
      scales: [
        {
          name: "x",
          type: "linear",
          range: "width",
          domain: {
            fields: [
              { data: "segments", field: "to" },
              { data: "segments", field: "from" },
            ],
          },
        },
        {
          name: "y",
          type: "band",
          range: "height",
          padding: 0.2,
          domain: lanes,
        },
        {
          name: "colour",
          type: "ordinal",
          domain: [...TIME_CAUSES],
          range: [...COLOURS],
        },
      ],
      axes: [
        { orient: "bottom", scale: "x", title: "seconds", grid: true },
        { orient: "left", scale: "y", title: "trainer" },
      ],
      legends: [{
        fill: "colour",
        title: "time until the last group",
        titleLimit: 300,
      }],
      marks: [
        {
          type: "rect",
          from: { data: "segments" },
          encode: {
            enter: {
              x: { scale: "x", field: "from" },
              x2: { scale: "x", field: "to" },
              y: { scale: "y", field: "lane" },
              height: { scale: "y", band: 1 },
              fill: { scale: "colour", field: "cause" },
            },
          },
        },
        {
          type: "rect",
          from: { data: "due" },
          encode: {
            enter: {
              x: { scale: "x", field: "at" },
              width: { value: 2 },
              y: { scale: "y", field: "lane" },
              height: { scale: "y", band: 1 },
              fill: { value: "black" },
            },
          },
        },
      ],
    }),
    { renderer: "none" },
  );
  return view.toSVG();
}

function toSegments(step: StepAccount): ReadonlyArray<Segment> {
  const spent = step.groups.at(-1)?.spent;
  if (spent === undefined) return [];
  let at = step.submittedMilliseconds;
  return TIME_CAUSES.flatMap((cause) => {
    const from = at;
    at += spent[cause];
    return spent[cause] === 0
      ? []
      : [{ lane: toLane(step), from: from / 1000, to: at / 1000, cause }];
  });
}

// Two steps of a trainer may be open at once, so even and odd steps have lanes of their own.
function toLane({ model, number }: StepAccount): string {
  return `${model} ${number % 2 === 0 ? "even" : "odd"}`;
}
