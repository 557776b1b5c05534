import { expect, test } from '@jest/globals';
import { createFleetLoad } from './fleet-load.js';

test('usage of all proxies is summed by worker, the newest of each only', () => {
  const c = createFleetLoad(1_000);
  expect(c.record({ name: 'a', run: 'r', count: 2, rows: { w: [1, 10, 100, 0, 1] } }, 0)).toBe(true);
  expect(c.record({ name: 'a', run: 'r', count: 1, rows: { w: [9, 9, 9, 0, 1] } }, 0)).toBe(false);
  expect(c.record({ name: 'b', run: 'r', count: 1, rows: { w: [2, 20, 200, 0, 1], v: [1, 0, 5, 0, 1] } }, 500)).toBe(
    true,
  );
  expect(c.sums(600)).toEqual({ w: [3, 30, 300, 0, 2], v: [1, 0, 5, 0, 1] });
});

test('a proxy begins anew with each run, and one unheard counts no more', () => {
  const c = createFleetLoad(1_000);
  c.record({ name: 'a', run: 'r', count: 9, rows: { w: [1, 1, 1, 0, 1] } }, 0);
  expect(c.record({ name: 'a', run: 's', count: 1, rows: { w: [4, 4, 4, 0, 1] } }, 100)).toBe(true);
  expect(c.sums(100)).toEqual({ w: [4, 4, 4, 0, 1] });
  expect(c.sums(1_200)).toEqual({});
});
