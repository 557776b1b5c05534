import { describe, expect, test } from '@jest/globals';
import { candidateTarget, stepTarget } from './target.js';
import type { PendingChange, Rate } from './target.js';

const rule = { qTar: 1, holdMs: 600_000, minTarget: 1, maxTarget: 10 };
function completeRate(perSecond: number): Rate {
  return { perSecond, complete: true };
}

describe('target', () => {
  test('the candidate is the rate divided by the rate per worker, rounded up and clamped to the bounds', () => {
    expect(candidateTarget(0, rule)).toBe(1);
    expect(candidateTarget(2, rule)).toBe(2);
    expect(candidateTarget(2.01, rule)).toBe(3);
    expect(candidateTarget(99, rule)).toBe(10);
  });

  test('the target changes only after the candidate has differed from it for the whole hold time', () => {
    let pendingChange: PendingChange | null = null;
    let target = 2;
    for (let at = 0; at < 600_000; at += 60_000) {
      const step = stepTarget(target, completeRate(5), rule, pendingChange, at);
      expect(step.target).toBe(2);
      ({ target, pending: pendingChange } = step);
    }
    expect(stepTarget(target, completeRate(5), rule, pendingChange, 600_000).target).toBe(5);
  });

  test('a sample that agrees with the target or points the other way restarts the hold time', () => {
    const up = stepTarget(2, completeRate(5), rule, null, 0);
    const unchanged = stepTarget(2, completeRate(2), rule, up.pending, 300_000);
    expect(unchanged.pending).toBeNull();
    const down = stepTarget(2, completeRate(0.5), rule, up.pending, 300_000);
    expect(down.pending).toEqual({ direction: 'down', since: 300_000 });
  });

  test('an unknown rate is not zero and changes nothing, and an incomplete rate never lowers the target', () => {
    expect(stepTarget(4, null, rule, { direction: 'down', since: 0 }, 9e9)).toEqual({ target: 4, pending: null });
    const partial: Rate = { perSecond: 0.1, complete: false };
    expect(stepTarget(4, partial, rule, { direction: 'down', since: 0 }, 9e9)).toEqual({ target: 4, pending: null });
    expect(stepTarget(4, { perSecond: 9, complete: false }, rule, { direction: 'up', since: 0 }, 9e9).target).toBe(9);
  });

  test('new bounds take effect at once', () => {
    expect(stepTarget(12, null, rule, null, 0).target).toBe(10);
  });
});
