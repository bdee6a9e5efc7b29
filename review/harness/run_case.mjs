// deno-lint-ignore-file explicit-function-return-type
import { fileURLToPath } from "node:url";
import { Deployment } from "./deployment.mjs";
import { Record } from "./record.mjs";

const LIMIT_MILLISECONDS = 115_000;

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held and 2 if the case could
 * not run. `run` gets the deployment, the record and whether the disruption happens, and returns the
 * list of what broke the rule.
 */
export async function runCase(folder, run) {
  const record = new Record();
  const deployment = new Deployment(record);
  const hasTrouble = process.env.TROUBLE !== "0";
  const path = fileURLToPath(new URL("record.txt", folder));
  const finish = async (status) => {
    await deployment.close();
    record.write(path);
    process.exit(status);
  };
  const limit = setTimeout(() => {
    record.add("the case took too long");
    void finish(2);
  }, LIMIT_MILLISECONDS);
  try {
    await deployment.start();
    const broken = await run({ deployment, record, hasTrouble });
    clearTimeout(limit);
    for (const each of broken) record.add(`BROKEN: ${each}`);
    const verdict = broken.length > 0 ? "the rule was broken" : "the rule held";
    record.add(verdict);
    console.log(`${hasTrouble ? "" : "without the disruption: "}${verdict}`);
    for (const each of broken.slice(0, 5)) console.log(`  ${each}`);
    await finish(broken.length > 0 ? 1 : 0);
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`);
    console.error(error);
    await finish(2);
  }
}
