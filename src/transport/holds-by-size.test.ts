import { describe, expect, test } from '@jest/globals';
import { HoldsBySize } from './holds-by-size.js';

type Hold = { bytes: number; lastProgressAt: number };
const NEWCOMER: Hold = { bytes: 0, lastProgressAt: 0 };

describe('holds by size', () => {
  test('find a large one that stalls before a larger one that does not', () => {
    const holds = new HoldsBySize<Hold>();
    const stalled = { bytes: 1_000, lastProgressAt: 1 };
    const larger = { bytes: 5_000, lastProgressAt: 9 };
    for (const hold of [stalled, larger, { bytes: 10, lastProgressAt: 1 }]) holds.put(hold);
    expect(holds.find(5, 100, NEWCOMER)).toBe(stalled);
    expect(holds.find(0, 100, NEWCOMER)).toBe(larger);
    expect(holds.find(0, 5_000, NEWCOMER)).toBeNull();
  });

  test('follow what grows and makes progress, and never return the newcomer itself', () => {
    const holds = new HoldsBySize<Hold>();
    const first = { bytes: 1_000, lastProgressAt: 1 };
    const second = { bytes: 1_000, lastProgressAt: 2 };
    holds.put(first);
    holds.put(second);
    first.lastProgressAt = 3;
    holds.put(first);
    expect(holds.find(2, 0, NEWCOMER)).toBe(second);
    first.bytes = 9_000;
    holds.put(first);
    expect(holds.find(0, 2_000, NEWCOMER)).toBe(first);
    expect(holds.find(0, 2_000, first)).toBeNull();
    holds.delete(first);
    second.bytes = 0;
    holds.put(second);
    expect(holds.find(9, 0, NEWCOMER)).toBeNull();
  });
});
