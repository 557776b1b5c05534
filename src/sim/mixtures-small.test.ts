import { expect, test } from '@jest/globals';
import { runMixedFaults } from './mixtures.js';

const cases: readonly (readonly [number, number])[] = [
  [37, 2_200],
  [44, 2_200],
  [50, 2_200],
  [101, 1_200],
  [4_006, 2_500],
  [6_213, 1_800],
  [6_225, 1_800],
  [8_280, 1_800],
  [8_286, 1_800],
];

test.each(cases)(
  'mixed faults on the small shape, then a disaster, break no rule (seed %i, every %i ms)',
  async (seed, everyMs) => {
    const end = await runMixedFaults('small', seed, everyMs);
    expect(end.faults.length).toBeGreaterThan(5);
    expect(end.asked).toBeGreaterThan(200);
    expect(end.watchedMs).toBeGreaterThan(30_000);
    expect(end.changesConfirmed).toBeGreaterThan(5);
    expect(end.broken).toEqual([]);
  },
);
