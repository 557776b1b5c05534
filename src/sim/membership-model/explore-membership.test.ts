import { describe, expect, test } from '@jest/globals';
import { exploreMembership } from './explore-membership.js';
import { initialState } from './group-state.js';
import type { GroupState } from './group-state.js';
import { FormerPolicy, TargetSizePolicy } from './membership-policy.js';
import { comesBack, stepsFrom } from './membership-steps.js';
import type { StepOptions } from './membership-steps.js';

function optionsOf(toleratedLosses: number, rule: 'target' | 'former', restartsMachines = false): StepOptions {
  const policy = rule === 'target' ? new TargetSizePolicy(toleratedLosses) : new FormerPolicy();
  return { policy, toleratedLosses, maxNewMachines: 1, restartsMachines };
}

/** The machine that acknowledges an order in the histories below, and loses its disk right after. */
const ACKNOWLEDGING = 'm3';

function isStep(label: string, wanted: string): boolean {
  return wanted === 'acknowledged' ? label.startsWith(wanted) && label.includes(ACKNOWLEDGING) : label === wanted;
}

function stateAfter(options: StepOptions, labels: readonly string[]): GroupState {
  const size = 2 * options.toleratedLosses + 1;
  let state = initialState(size);
  for (const wanted of labels) {
    const step = stepsFrom(state, size, options).find(({ label }) => isStep(label, wanted));
    expect([wanted, step !== undefined]).toEqual([wanted, true]);
    if (step) state = step.next;
  }
  return state;
}

/** The histories that were seen on real processes: tolerated losses, and the steps. */
const SEEN_HISTORIES: [string, number, string[]][] = [
  [
    'two of five dark, then two disks lost',
    2,
    ['m1 dark', 'm2 dark', 'seconds pass', 'acknowledged', 'disks lost: m3+m4'],
  ],
  [
    'one of three dark during a planned replacement, then a disk lost',
    1,
    [
      'm1 dark',
      'new machine started',
      'seconds pass',
      'm2 told to end',
      'seconds pass',
      'acknowledged',
      'disks lost: m3',
    ],
  ],
  [
    'one of three switched off after its successor joined, then a disk lost',
    1,
    ['new machine started', 'seconds pass', 'm2 switched off for good', 'acknowledged', 'disks lost: m3'],
  ],
];

describe('the rule of membership, explored over all short histories', () => {
  // Guards against the three histories of losses that left a core without a majority for good.
  test.each(SEEN_HISTORIES)('%s: the core comes back, and did not by the former rule', (_what, losses, labels) => {
    expect(comesBack(stateAfter(optionsOf(losses, 'former'), labels))).toBe(false);
    expect(comesBack(stateAfter(optionsOf(losses, 'target'), labels))).toBe(true);
  });

  test.each([
    [1, 5],
    [2, 4],
  ])('%i tolerated losses, %i steps: each history comes back', (losses, steps) => {
    const found = exploreMembership(optionsOf(losses, 'target'), steps);
    expect(found.lost.map(({ labels }) => labels)).toEqual([]);
    expect(found.stateCount).toBeGreaterThan(1_000);
  });

  test('the exploration finds what the former rule loses', () => {
    expect(exploreMembership(optionsOf(2, 'former'), 4).lost.length).toBeGreaterThan(0);
  });
});
