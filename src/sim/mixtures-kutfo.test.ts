import { expect, test } from '@jest/globals';
import { runMixedFaults } from './mixtures.js';

const cases: readonly (readonly [number, number])[] = [
  [102, 2_200],
  [5_323, 2_500],
  [6_175, 1_800],
  [6_235, 1_800],
];

test.each(cases)(
  'mixed faults on the kutfo shape, then a disaster, break no rule (seed %i, every %i ms)',
  async (seed, everyMs) => {
    const end = await runMixedFaults('kutfo', seed, everyMs);
    expect(end.faults.length).toBeGreaterThan(5);
    expect(end.asked).toBeGreaterThan(200);
    expect(end.watchedMs).toBeGreaterThan(30_000);
    expect(end.changesConfirmed).toBeGreaterThan(5);
    expect(end.broken).toEqual([]);
  },
);
