// deno-lint-ignore-file explicit-function-return-type
import { call, sleep } from "./client.mjs";

const READ_PAUSE_MILLISECONDS = 500;

/** Creates the body of a batch submission; `groups` maps the group to the ids of its items. */
export function createSubmission(options) {
  const { step, model, prefix, minimumVersion, targetGroups, groups } = options;
  const requests = [...groups].flatMap(([group, identifiers]) =>
    identifiers.map((id) => ({
      id,
      path: `${prefix}run/${id}`,
      headers: {
        Model: model,
        "Token-Count": "271,400",
        "Prompt-Prefix": `${group}:255,${id}:16`,
        ...(options.lengthHint === undefined
          ? {}
          : { "Length-Hint": String(options.lengthHint(id)) }),
      },
      body: Buffer.from(`prompt of ${id}`).toString("base64"),
      tokens: 671,
      group,
      ...(options.toScorer === undefined ? {} : {
        scorer: options.toScorer(id),
      }),
    }))
  );
  return JSON.stringify({
    step,
    model,
    "min_version": minimumVersion,
    "target_groups": targetGroups,
    requests,
  });
}

/** A trainer that submits batch submissions to nodes, reads their results and ends them. */
export class Trainer {
  #record;

  constructor(record) {
    this.#record = record;
  }

  /** Submits a batch submission; returns the status. */
  async submit(node, lot, options) {
    const answer = await call(node.front, {
      path: `${options.prefix}${lot}`,
      identifier: lot,
      body: createSubmission(options),
      headers: { "content-type": "application/json" },
    });
    this.#record.add(
      `trainer: submits ${lot} (step ${options.step}, min_version ${options.minimumVersion}) to ${node.name}: ${answer.status}`,
    );
    return answer.status;
  }

  /** Submits until the submission is accepted. */
  async submitUntilAccepted(node, lot, options) {
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const status = await this.submit(node, lot, options);
      if (status === 202) return;
      await sleep(300);
    }
    throw new Error(`${lot} was not accepted`);
  }

  /** Reads results from a position on; returns the page, undefined without a 200. */
  async read(node, lot, after = 0) {
    const answer = await call(node.front, {
      method: "GET",
      path: `/-/lots/${lot}?after=${after}`,
    });
    return answer.status === 200 ? JSON.parse(answer.body) : undefined;
  }

  /** Reads a batch submission until a condition on its results holds or the time is over. */
  async readUntil(node, lot, { condition, milliseconds }) {
    const results = [];
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
      const page = await this.read(node, lot, results.length);
      for (const result of page?.results ?? []) {
        results.push(result);
        const { id, state, versions } = result;
        this.#record.add(
          `trainer: reads ${lot} position ${
            results.length - 1
          }: ${id} ${state} versions ${JSON.stringify(versions ?? null)}`,
        );
      }
      if (condition(results, page)) break;
      await sleep(READ_PAUSE_MILLISECONDS);
    }
    return results;
  }

  /** Ends a batch submission; returns the status. */
  async end(node, lot) {
    const answer = await call(node.front, {
      method: "DELETE",
      path: `/-/lots/${lot}`,
    });
    this.#record.add(
      `trainer: ends ${lot} at ${node.name}: ${answer.status}`,
    );
    return answer.status;
  }
}
