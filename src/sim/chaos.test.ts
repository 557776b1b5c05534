import { expect, test } from '@jest/globals';
import { runChaos } from './chaos.js';
import { ALL_FAULTS } from './faults.js';
import type { FaultName } from './faults.js';

const cases: readonly (readonly [FaultName, number])[] = ALL_FAULTS.map((name, i) => [name, 200 + i]);

test.each(cases)('repeated %s faults break no rule (seed %i)', async (name, seed) => {
  const end = await runChaos(seed, { faults: [name], seconds: 16, everyMs: 4_000 });
  expect(end.faults.length).toBeGreaterThan(1);
  expect(end.changesConfirmed).toBeGreaterThan(1);
  expect(end.broken).toEqual([]);
});
