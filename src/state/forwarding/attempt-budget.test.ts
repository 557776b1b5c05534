import { expect, test } from '@jest/globals';
import { createRng } from '../../transport/rng.js';
import { createAttemptBudget } from './attempt-budget.js';

const BOUNDS = { ratio: 0.2, slack: 52, windowMs: 10_000 };

function mostIn(times: readonly number[], from: number): number {
  return times.filter((t) => t > from - BOUNDS.windowMs && t <= from).length;
}

test.each([
  [1, 1],
  [6, 2],
  [7, 3],
  [60, 4],
])('further dispatches of %i proxies together stay inside the bound in every window (seed %i)', (n, seed) => {
  const rng = createRng(seed);
  const budgets = Array.from({ length: n }, () => createAttemptBudget(BOUNDS));
  for (const b of budgets) b.setSharingProxies(n);
  const first: number[] = [];
  const further: number[] = [];
  for (let now = 0; now < 30_000; now += 10) {
    const b = budgets[Math.floor(rng.next() * n)]!;
    const crowd = now > 10_000 && now < 12_000;
    if (crowd || rng.next() < 0.3) {
      b.arrived('m', now);
      first.push(now);
    }
    for (let k = 0; k < 3; k += 1) {
      if (!b.take('m', now)) continue;
      if (rng.next() < 0.1) b.refund('m');
      else further.push(now);
    }
  }
  expect(further.length).toBeGreaterThan(0);
  for (const at of further)
    expect(mostIn(further, at)).toBeLessThanOrEqual(BOUNDS.ratio * mostIn(first, at) + BOUNDS.slack);
});

test('what one model spends is not taken from another', () => {
  const b = createAttemptBudget(BOUNDS);
  for (let i = 0; i < 100 && b.take('m', 0); i += 1);
  expect(b.mayTake('m', 0)).toBe(false);
  expect(b.mayTake('n', 0)).toBe(true);
});

test('what was taken and not sent is there again', () => {
  const b = createAttemptBudget(BOUNDS);
  while (b.take('m', 0));
  b.refund('m');
  expect([b.take('m', 0), b.take('m', 0)]).toEqual([true, false]);
});
