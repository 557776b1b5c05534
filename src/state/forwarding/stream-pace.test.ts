import { expect, test } from '@jest/globals';
import { createStreamPace } from './stream-pace.js';

test('streams are expected at the usual pace until slower ones were seen, and again once those are long past', () => {
  const pace = createStreamPace();
  expect(pace.expect('m', 4_000, 0)).toBe(4_000);
  pace.record('m', 4_000, 2_000, 0);
  expect(pace.expect('m', 4_000, 0)).toBe(4_000);
  pace.record('m', 2_000, 3_000, 1_000);
  pace.record('m', 2_000, 2_000, 9_000);
  expect(pace.expect('m', 4_000, 11_000)).toBe(4_000 * 1.5 * 1.25);
  expect(pace.expect('m', 4_000, 11_001)).toBe(4_000 * 1.25);
  expect(pace.expect('m', 4_000, 19_001)).toBe(4_000);
});

test('the slowest of late streams counts, whatever came after it, and each model for itself', () => {
  const pace = createStreamPace();
  for (const [i, tookMs] of [1_000, 3_000, 2_000, 1_500].entries()) pace.record('m', 1_000, tookMs, i);
  expect(pace.expect('m', 1_000, 4)).toBe(3_750);
  expect(pace.expect('other', 1_000, 4)).toBe(1_000);
});
