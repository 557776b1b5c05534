import { describe, expect, test } from '@jest/globals';
import { digestOf, explore } from './explorer.js';
import type { ProtocolDefect, Scenario } from './agreement-steps.js';
import { initialState } from './agreement-state.js';
import { RACE, REPLACEMENT, TWO_SLOTS, withDefect } from './small-case.js';

const WIDE_BOUNDS = { depth: 100, states: 1_000_000 };

describe('all message orders of the small cases', () => {
  test.each([
    ['competing proposals for one slot with a lost disk', RACE, 33_892],
    ['a replacement, then an entry proposed by the new member', REPLACEMENT, 6_980],
  ])('%s: all rules hold in every state', (_name, scenario, states) => {
    expect(explore(scenario, WIDE_BOUNDS)).toEqual({
      visited: states,
      depth: expect.any(Number),
      complete: true,
      broken: null,
    });
  });

  test('competing proposals for two slots: all rules hold in every state to a depth of 12', () => {
    const result = explore(TWO_SLOTS, { depth: 12, states: 1_000_000 });
    expect(result.broken).toBeNull();
    expect(result.visited).toBeGreaterThan(10_000);
  });

  test('the digest of a state depends on its contents, not on the order of its keys', () => {
    const state = initialState(RACE.proposals, 1, 0);
    const reversed = { ...state, nodes: Object.fromEntries(Object.entries(state.nodes).reverse()) };
    expect(digestOf(reversed)).toBe(digestOf(state));
    expect(digestOf({ ...state, lossesLeft: 0 })).not.toBe(digestOf(state));
  });
});

const defects: readonly (readonly [ProtocolDefect, Scenario, string])[] = [
  ['votesBeforeLearning', REPLACEMENT, 'holdsBefore'],
  ['countsOldIdentity', RACE, 'confirmedKept'],
  ['acceptsWithoutPromise', RACE, 'confirmedKept'],
  ['forgetsPromise', RACE, 'confirmedKept'],
  ['ignoresAccepted', RACE, 'confirmedKept'],
  ['readsOnce', { ...REPLACEMENT, losses: 0 }, 'staleRead'],
];

describe('a deliberate defect is found by a shortest sequence of steps', () => {
  test.each(defects)('%s', (broken, scenario, rule) => {
    const result = explore(withDefect(scenario, broken), WIDE_BOUNDS);
    expect(result.broken?.rule).toMatch(new RegExp(`^${rule}: `));
    expect(result.broken?.steps.length).toBeLessThanOrEqual(16);
  });
});
