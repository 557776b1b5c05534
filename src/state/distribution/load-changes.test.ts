import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { createFleetLoad } from './fleet-load.js';
import type { LoadRows } from './load-rows.js';
import { createLoadChanges } from './load-changes.js';
import { withChanges } from './load-rows.js';

test('a difference that matters for selecting a worker is sent at the next tick, a small one half a second later', () => {
  const changes = createLoadChanges();
  expect(changes.next({ w: [1, 5_000, 9_000, 0, 1], v: [1, 0, 1_000, 0, 1] }, 0)).toEqual({
    w: [1, 5_000, 9_000, 0, 1],
    v: [1, 0, 1_000, 0, 1],
  });
  const later = { w: [1, 2_000, 9_000, 0, 1], v: [2, 0, 2_000, 0, 1] } as LoadRows;
  expect(changes.next(later, 100)).toEqual({ w: [1, 2_000, 9_000, 0, 1] });
  expect(changes.next(later, 200)).toBeNull();
  expect(changes.next(later, 600)).toEqual({ v: [2, 0, 2_000, 0, 1] });
});

test('a worker whose load has ended is sent once as zeros and leaves the table', () => {
  const changes = createLoadChanges();
  changes.next({ w: [4, 0, 30_000, 0, 1] }, 0);
  const removal = changes.next({}, 100) as LoadRows;
  expect(removal).toEqual({ w: [0, 0, 0, 0, 0] });
  expect(withChanges({ w: [4, 0, 30_000, 0, 1] }, removal)).toEqual({});
  expect(changes.next({}, 5_000)).toBeNull();
  expect(changes.told()).toEqual({});
});

test('a receiver gets at most 5 KB a second for 600 workers whose loads change all the time', () => {
  const changes = createLoadChanges();
  let bytes = 0;
  for (let now = 0; now < 60_000; now += 100) {
    const sums: LoadRows = {};
    for (let i = 0; i < 600; i += 1) sums[`i-${1_000_000 + i}`] = [9 + (now % 7), 4_000 + now * 50, 90_000, 0, now];
    const rows = changes.next(sums, now);
    if (rows) bytes += JSON.stringify(rows).length;
  }
  expect(bytes / 60).toBeLessThanOrEqual(5_000 * 1.1);
  expect(bytes / 60).toBeGreaterThan(4_000);
});

test('a receiver that applies every change has the table sent last, and after two quiet seconds the sums themselves', () => {
  const row = fc.tuple(fc.nat(20), fc.nat(50_000), fc.nat(200_000), fc.nat(3), fc.nat(50));
  const table = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd', 'e'), row);
  fc.assert(
    fc.property(fc.array(table, { minLength: 1, maxLength: 20 }), (tables) => {
      const changes = createLoadChanges();
      let received: LoadRows = {};
      let now = 0;
      for (const sums of tables) {
        now += 100;
        const rows = changes.next(sums, now);
        if (rows) received = withChanges(received, rows);
      }
      const last = tables[tables.length - 1] as LoadRows;
      const lastChanges = changes.next(last, now + 2_000);
      if (lastChanges) received = withChanges(received, lastChanges);
      const nonZeroRows = Object.entries(last).filter(([, values]) => values.some((value) => value > 0));
      expect(received).toEqual(Object.fromEntries(nonZeroRows));
      expect(changes.told()).toEqual(received);
    }),
    { seed: 25, numRuns: 200 },
  );
});

test('a partial report whose predecessor is missing is rejected, and the next complete report restores the table', () => {
  const loads = createFleetLoad(2_500);
  const sender = { name: 'c', run: 'r' };
  expect(loads.record({ ...sender, count: 1, rows: { w: [1, 0, 0, 0, 0], v: [2, 0, 0, 0, 0] } }, 0)).toBe(true);
  expect(loads.record({ ...sender, count: 2, rows: { w: [0, 0, 0, 0, 0] }, partial: true }, 10)).toBe(true);
  expect(loads.sums(10)).toEqual({ v: [2, 0, 0, 0, 0] });
  expect(loads.record({ ...sender, count: 4, rows: { w: [7, 0, 0, 0, 0] }, partial: true }, 20)).toBe(false);
  expect(loads.record({ ...sender, run: 's', count: 5, rows: { w: [7, 0, 0, 0, 0] }, partial: true }, 20)).toBe(false);
  expect(loads.sums(20)).toEqual({ v: [2, 0, 0, 0, 0] });
  expect(loads.record({ ...sender, count: 5, rows: { w: [7, 0, 0, 0, 0] } }, 30)).toBe(true);
  expect(loads.sums(30)).toEqual({ w: [7, 0, 0, 0, 0] });
});
