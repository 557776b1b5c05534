import { describe, expect, test } from '@jest/globals';
import { candidateTarget, stepTarget } from './target.js';
import type { PendingChange, Rate } from './target.js';

const rule = { qTar: 1, holdMs: 600_000, minTarget: 1, maxTarget: 10 };
function steady(perSecond: number): Rate {
  return { perSecond, complete: true };
}

describe('target', () => {
  test('the candidate is the rate over the wanted rate, rounded up and bounded', () => {
    expect(candidateTarget(0, rule)).toBe(1);
    expect(candidateTarget(2, rule)).toBe(2);
    expect(candidateTarget(2.01, rule)).toBe(3);
    expect(candidateTarget(99, rule)).toBe(10);
  });

  test('moves only after the two have differed for the whole hold time', () => {
    let hold: PendingChange | null = null;
    let target = 2;
    for (let at = 0; at < 600_000; at += 60_000) {
      const step = stepTarget(target, steady(5), rule, hold, at);
      expect(step.target).toBe(2);
      ({ target, pending: hold } = step);
    }
    expect(stepTarget(target, steady(5), rule, hold, 600_000).target).toBe(5);
  });

  test('one sample on the other side starts the hold again', () => {
    const up = stepTarget(2, steady(5), rule, null, 0);
    const calm = stepTarget(2, steady(2), rule, up.pending, 300_000);
    expect(calm.pending).toBeNull();
    const down = stepTarget(2, steady(0.5), rule, up.pending, 300_000);
    expect(down.pending).toEqual({ direction: 'down', since: 300_000 });
  });

  test('unknown is not zero: nothing moves, and a part of the counts never scales in', () => {
    expect(stepTarget(4, null, rule, { direction: 'down', since: 0 }, 9e9)).toEqual({ target: 4, pending: null });
    const part: Rate = { perSecond: 0.1, complete: false };
    expect(stepTarget(4, part, rule, { direction: 'down', since: 0 }, 9e9)).toEqual({ target: 4, pending: null });
    expect(stepTarget(4, { perSecond: 9, complete: false }, rule, { direction: 'up', since: 0 }, 9e9).target).toBe(9);
  });

  test('new bounds hold at once', () => {
    expect(stepTarget(12, null, rule, null, 0).target).toBe(10);
  });
});
