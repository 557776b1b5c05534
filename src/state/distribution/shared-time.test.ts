import { expect, test } from '@jest/globals';
import { createSharedTime } from './shared-time.js';

test('one controller whose clock jumps does not move the shared time', () => {
  const time = createSharedTime();
  expect(time.now(5, 77)).toBe(77);
  time.record('a', 1_000, 0);
  time.record('b', 1_010, 0);
  time.record('c', 1_020, 0);
  expect(time.now(100, 0)).toBe(1_110);
  time.record('c', 9_999_999, 50);
  expect(time.now(100, 0)).toBe(1_110);
  time.record('a', -5_000, 60);
  expect(time.now(100, 0)).toBe(1_110);
});

test('the clock of an unresponsive controller still counts, that of a replaced one does not', () => {
  const time = createSharedTime();
  time.record('a', 1_000, 0);
  time.record('b', 2_000, 0);
  time.record('c', 3_000, 0);
  expect(time.now(60_000, 0)).toBe(62_000);
  time.retainOnly(new Set(['a']));
  expect(time.now(60_000, 0)).toBe(61_000);
});
