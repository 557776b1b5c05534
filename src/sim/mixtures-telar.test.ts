import { expect, test } from '@jest/globals';
import { runMixedFaults } from './mixtures.js';

const cases: readonly (readonly [number, number])[] = [
  [103, 2_200],
  [5_189, 2_500],
  [5_216, 2_500],
  [6_173, 1_800],
  [7_082, 1_800],
  [8_318, 1_800],
];

test.each(cases)(
  'mixed faults on the telar shape, then a disaster, break no rule (seed %i, every %i ms)',
  async (seed, everyMs) => {
    const end = await runMixedFaults('telar', seed, everyMs);
    expect(end.faults.length).toBeGreaterThan(5);
    expect(end.asked).toBeGreaterThan(200);
    expect(end.watchedMs).toBeGreaterThan(30_000);
    expect(end.changesConfirmed).toBeGreaterThan(5);
    expect(end.broken).toEqual([]);
  },
);
