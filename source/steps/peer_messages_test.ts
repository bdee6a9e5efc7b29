import { create } from "@bufbuild/protobuf";
import test from "ava";
import fc from "fast-check";
import {
  ConfirmWeightVersionRequestSchema,
  FetchSamplesRequestSchema,
  StoreSamplesRequestSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import { FakeNodeGroup } from "../../stand_ins/steps/fake_node_group.ts";
import { FakeTrainer } from "../../stand_ins/steps/fake_trainer.ts";

const SUBMISSION = {
  trainer: "dots",
  step: "17",
  groups: [{ prompt: "one", samples: 6, maximumTokens: 20 }],
};

const UINT32 = fc.oneof(fc.nat(8), fc.integer({ min: 0, max: 0xffff_ffff }));
const NAME = fc.constantFrom("dots", "17", "18", "", "a/b");
const STRETCH = fc.record({
  weightVersion: fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }),
  tokens: UINT32,
});
const SAMPLE = fc.record({
  index: UINT32,
  group: UINT32,
  text: fc.string({ maxLength: 8 }),
  stretches: fc.array(STRETCH, { maxLength: 2 }),
});
const MANIFEST = fc.record({
  trainer: NAME,
  step: NAME,
  epoch: fc.constantFrom("", "0"),
  groups: fc.array(
    fc.record({
      prompt: fc.string(),
      samples: UINT32,
      maximumTokens: UINT32,
    }),
    { maxLength: 3 },
  ),
});
const STORE = fc.record({
  trainer: NAME,
  step: NAME,
  epoch: fc.constantFrom("", "0", "000001-node-1-start-1"),
  samples: fc.array(SAMPLE, { maxLength: 4 }),
  manifest: fc.option(MANIFEST, { nil: undefined }),
}).map(({ manifest, ...fields }) =>
  create(StoreSamplesRequestSchema, {
    ...fields,
    ...(manifest === undefined ? {} : { manifest }),
  })
);
const FETCH = fc.record({
  trainer: NAME,
  step: NAME,
  epoch: fc.string({ maxLength: 4 }),
  held: fc.uint8Array({ maxLength: 4 }).map((bytes) => new Uint8Array(bytes)),
  maximum: UINT32,
  heldByTrainer: fc.boolean(),
}).map((fields) => create(FetchSamplesRequestSchema, fields));

test("random peer messages neither crash a node nor add samples that do not belong to the step", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(STORE, { maxLength: 8 }),
      fc.array(FETCH, { maxLength: 8 }),
      async (stores, fetches) => {
        const group = new FakeNodeGroup({
          nodes: 2,
          engines: 2,
          seed: 1,
          stalenessBoundVersions: 5,
        });
        const [node] = group.nodes;
        if (node === undefined) throw new Error("No nodes");
        const trainer = new FakeTrainer({
          group,
          boundVersions: 5,
          statesVersion: true,
          pauseMilliseconds: 10,
          maximum: 3,
          chooseNode: () => node,
        });
        await group.runUntilDone(trainer.publish(1, node));
        await group.runUntilDone(trainer.submit(SUBMISSION));
        const { handlers } = node.service;
        for (const request of stores) {
          const isCurrentEpoch = request.epoch.startsWith("000001");
          // A node accepts valid samples of the current epoch from its peers, so the test sends
          // only invalid ones.
          if (isCurrentEpoch) {
            request.samples = request.samples.filter(isInvalid);
          }
          handlers.onStoreSamples(request);
        }
        for (const request of fetches) handlers.onFetchSamples(request);
        handlers.onWeightVersion(
          create(ConfirmWeightVersionRequestSchema, {
            trainer: "dots",
            version: 2n ** 63n,
          }),
        );
        t.true(await group.runUntilDone(trainer.pullAll()));
        const { delivered, doubled, wrongVersions } = trainer.findings();
        t.deepEqual([delivered, doubled, wrongVersions], [6, 0, 0]);
        group.close();
      },
    ),
    { seed: 23, numRuns: 40 },
  );
});

function isInvalid(sample: {
  readonly index: number;
  readonly group: number;
  readonly stretches: ReadonlyArray<unknown>;
}): boolean {
  const isPlanned = sample.index < 6 && sample.group === 0;
  return !isPlanned || sample.stretches.length === 0;
}
