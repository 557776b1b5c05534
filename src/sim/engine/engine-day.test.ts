import { expect, test } from '@jest/globals';
import { EDGE_TUNING } from '../../state/forwarding/edge-tuning.js';
import { drawDeployment } from './deployment.js';
import { playEngineDay } from './engine-day.js';
import type { EngineDayOptions } from './engine-day.js';
import type { EngineDayResult } from './engine-tally.js';

/** Few and short days, so that the whole file takes seconds. */
const SEEDS = [3, 8, 14];
const LENGTH_MS = 6_000;

function runDays(over: Partial<EngineDayOptions> = {}): EngineDayResult[] {
  return SEEDS.map((seed) => playEngineDay(drawDeployment(seed, LENGTH_MS), { seed, tuning: EDGE_TUNING, ...over }));
}
function meanOf(results: readonly EngineDayResult[], figure: (result: EngineDayResult) => number): number {
  return results.reduce((sum, result) => sum + figure(result), 0) / results.length;
}
function rereadOf(result: EngineDayResult): number {
  return result.repeatedPrefillTokens;
}
function worthOf(result: EngineDayResult): number {
  return result.worth;
}

/** Results with the default tuning, simulated once for all tests. */
const baseline = runDays();

test('the same seed gives the same day, and every request ends', () => {
  const deployment = drawDeployment(5, LENGTH_MS);
  const first = playEngineDay(deployment, { seed: 1, tuning: EDGE_TUNING });
  expect(playEngineDay(deployment, { seed: 1, tuning: EDGE_TUNING })).toEqual(first);
  expect(first.onTime + first.late + first.unserved).toBe(first.asked);
  expect(first.unserved).toBe(0);
});

test('on drawn deployments the worth is at most 0.1 below that of selection by the true state of all workers', () => {
  const worth = meanOf(baseline, worthOf);
  const bound = meanOf(runDays({ mode: 'omniscient' }), worthOf);
  expect(worth).toBeGreaterThan(bound - 0.1);
});

test('loads that are delayed by two relays of 600 ms give less worth than the default intervals', () => {
  const here = meanOf(baseline, worthOf);
  expect(here).toBeGreaterThan(meanOf(runDays({ loadMs: 300, relayMs: 600 }), worthOf));
});

test('without a cost of repeated prefill more tokens are prefilled again', () => {
  const withoutPrice = runDays({ tuning: { ...EDGE_TUNING, sharedMs: 0 } });
  expect(meanOf(baseline, rereadOf)).toBeLessThan(meanOf(withoutPrice, rereadOf));
});
