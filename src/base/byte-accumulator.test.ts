import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { ByteAccumulator } from './byte-accumulator.js';

test('pieces of any size come out as the same bytes, and are held in at most twice their size', () => {
  const pieces = fc.array(fc.uint8Array({ maxLength: 20_000 }), { maxLength: 12, size: 'max' });
  fc.assert(
    fc.property(pieces, (arrived) => {
      const accumulator = new ByteAccumulator();
      for (const piece of arrived) accumulator.append(Buffer.from(piece));
      const whole = Buffer.concat(arrived);
      expect(accumulator.length).toBe(whole.length);
      expect(accumulator.heldBytes).toBeLessThanOrEqual(2 * whole.length + 512);
      expect(accumulator.take().equals(whole)).toBe(true);
      expect([accumulator.length, accumulator.heldBytes]).toEqual([0, 0]);
    }),
    { numRuns: 40 },
  );
});

// Guards against a peer that fills the heap with pieces of one byte.
test('a megabyte in pieces of one byte is held in as few buffers as in one piece', () => {
  const accumulator = new ByteAccumulator();
  for (let sent = 0; sent < 1_048_576; sent += 1) accumulator.append(Buffer.from('x'));
  expect(accumulator.segmentCount).toBeLessThanOrEqual(32);
  expect(accumulator.heldBytes).toBeLessThanOrEqual(2_097_152);
});

test('it can be filled again after its bytes were taken', () => {
  const accumulator = new ByteAccumulator();
  accumulator.append(Buffer.from('first'));
  expect(accumulator.take().toString()).toBe('first');
  accumulator.append(Buffer.from('second'));
  expect(accumulator.take().toString()).toBe('second');
  expect(accumulator.take().length).toBe(0);
});
