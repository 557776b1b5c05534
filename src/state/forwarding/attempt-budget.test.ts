import { expect, test } from '@jest/globals';
import { createRng } from '../../transport/rng.js';
import { createAttemptBudget } from './attempt-budget.js';

const BOUNDS = { ratio: 0.2, slack: 52, windowMs: 10_000 };

function countInWindow(times: readonly number[], end: number): number {
  return times.filter((time) => time > end - BOUNDS.windowMs && time <= end).length;
}

test.each([
  [1, 1],
  [6, 2],
  [7, 3],
  [60, 4],
])('retries of %i proxies together stay within the limit in every window (seed %i)', (proxyCount, seed) => {
  const rng = createRng(seed);
  const budgets = Array.from({ length: proxyCount }, () => createAttemptBudget(BOUNDS));
  for (const budget of budgets) budget.setSharingProxies(proxyCount);
  const firstAttempts: number[] = [];
  const retries: number[] = [];
  for (let now = 0; now < 30_000; now += 10) {
    const budget = budgets[Math.floor(rng.next() * proxyCount)]!;
    const isBurst = now > 10_000 && now < 12_000;
    if (isBurst || rng.next() < 0.3) {
      budget.arrived('m', now);
      firstAttempts.push(now);
    }
    for (let k = 0; k < 3; k += 1) {
      if (!budget.take('m', now)) continue;
      if (rng.next() < 0.1) budget.refund('m');
      else retries.push(now);
    }
  }
  expect(retries.length).toBeGreaterThan(0);
  for (const time of retries)
    expect(countInWindow(retries, time)).toBeLessThanOrEqual(
      BOUNDS.ratio * countInWindow(firstAttempts, time) + BOUNDS.slack,
    );
});

test('the retries of one model are not taken from the budget of another', () => {
  const budget = createAttemptBudget(BOUNDS);
  for (let i = 0; i < 100 && budget.take('m', 0); i += 1);
  expect(budget.hasCapacity('m', 0)).toBe(false);
  expect(budget.hasCapacity('n', 0)).toBe(true);
});

test('a retry that was taken and not sent can be taken again', () => {
  const budget = createAttemptBudget(BOUNDS);
  while (budget.take('m', 0));
  budget.refund('m');
  expect([budget.take('m', 0), budget.take('m', 0)]).toEqual([true, false]);
});
