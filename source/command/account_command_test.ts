import test from "ava";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createStepLog } from "../../stand_ins/utilities/step_log.ts";
import { runAccount } from "./account_command.ts";

// A timely step, a step with one group that waited for weights and one that no policy could have
// saved, and a step that was submitted 2 s behind the schedule and not finished.
const LOG = createStepLog([
  {
    step: "s0",
    number: 0,
    submittedAt: 0,
    samples: [
      { group: "g0", events: 50, listedAt: 2235 },
      { group: "g1", events: 100, listedAt: 4235 },
    ],
  },
  {
    step: "s1",
    number: 1,
    submittedAt: 4000,
    samples: [
      { group: "g2", events: 100, listedAt: 8735, waitedForWeights: 4500 },
      { group: "g3", events: 200, listedAt: 8235 },
    ],
  },
  {
    step: "s2",
    number: 2,
    submittedAt: 8000,
    samples: [{ group: "g4", events: 10, listedAt: 635 }],
  },
  {
    step: "s3",
    number: 3,
    submittedAt: 14_000,
    samples: [{ group: "g5", events: 0, listedAt: undefined, waited: 11_000 }],
  },
]);

async function run(
  options: { readonly isJson: boolean; readonly log: string },
): Promise<{ readonly text: string; readonly picture: string }> {
  const folder = mkdtempSync(join(tmpdir(), "account-"));
  const file = join(folder, "n1.log");
  const picture = join(folder, "steps.svg");
  writeFileSync(file, options.log);
  const written: string[] = [];
  await runAccount({
    files: [file],
    isJson: options.isJson,
    picture,
    output: {
      writeLine: (line) => written.push(line),
      writeDiagnostic: (line) => written.push(line),
    },
  });
  const svg = options.log === "" ? "" : readFileSync(picture, "utf8");
  rmSync(folder, { recursive: true });
  return { text: written.join("\n"), picture: svg };
}

test("account: late and failed groups, their causes and the trainer's schedule", async (t) => {
  const { text } = await run({ isJson: false, log: LOG });
  t.snapshot(text);
});

test("account: the same as JSON", async (t) => {
  const { text } = await run({ isJson: true, log: LOG });
  t.snapshot(JSON.parse(text));
});

test("account: the picture has a bar with its due time for each step", async (t) => {
  const { picture } = await run({ isJson: false, log: LOG });
  t.true(picture.startsWith("<svg"));
  t.is(picture.match(/fill="black"/g)?.length, 4);
});

test("account: logs without a step, and a file that can't be read", async (t) => {
  t.snapshot((await run({ isJson: false, log: "" })).text);
  const written: string[] = [];
  const status = await runAccount({
    files: ["absent.log"],
    isJson: false,
    output: {
      writeLine: (line) => written.push(line),
      writeDiagnostic: (line) => written.push(line),
    },
  });
  t.snapshot({ status, written });
});
