import test from "ava";
import fc from "fast-check";
import { ByteBlocks } from "./byte_blocks.ts";

const SEED = 43;

test("bytes are joined in their order, whatever the sizes of the chunks", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 9000 }), { maxLength: 40 }),
      (sizes) => {
        const blocks = new ByteBlocks();
        const chunks = sizes.map((size, index) => Buffer.alloc(size, index));
        for (const chunk of chunks) blocks.add(chunk);
        const whole = Buffer.concat(chunks);
        return blocks.length === whole.length && blocks.join().equals(whole) &&
          blocks.length === 0;
      },
    ),
    { seed: SEED },
  );
  t.pass();
});

// Guards against an object for each byte of a body that comes in chunks of one byte.
test("chunks of one byte share blocks", (t) => {
  const blocks = new ByteBlocks();
  for (let byte = 0; byte < 100_000; byte += 1) blocks.add(Buffer.from("x"));
  t.is(blocks.length, 100_000);
  t.is(blocks.blocks, 7);
});
