import { describe, expect, test } from '@jest/globals';
import type { ModelCommand, ModelHistory } from './history.js';
import type { InjectedFaults } from './model-group.js';
import { runHistory } from './run-history.js';
import { reportOf, searchSeed } from './search.js';

const HISTORIES = 100;
const MAX_SEEDS = 20;
const SHRINK_RUNS = 40;

describe('model histories', () => {
  test(`all rules hold in the histories of seeds 1 to ${HISTORIES}, which are not idle`, async () => {
    const reports: string[] = [];
    const total = { slots: 0, confirmed: 0, adopted: 0 };
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const result = await searchSeed(seed);
      if (result.end.broken.length > 0) reports.push(...reportOf(result));
      for (const key of ['slots', 'confirmed', 'adopted'] as const) total[key] += result.end[key];
    }
    expect(reports).toEqual([]);
    expect(total.slots).toBeGreaterThan(4 * HISTORIES);
    expect(total.confirmed).toBeGreaterThan(2 * HISTORIES);
    expect(total.adopted).toBeGreaterThan(HISTORIES);
  });

  test('a seed always draws the same history, which always runs the same', async () => {
    const first = await searchSeed(11);
    expect(await searchSeed(11)).toEqual(first);
  });
});

const faults: readonly (readonly [string, InjectedFaults, number, readonly string[]])[] = [
  [
    'disks that acknowledge a sync without syncing',
    { disksIgnoreSync: true },
    3,
    ['starts', 'restartedBehind', 'acceptedKept', 'promiseKept', 'recovers'],
  ],
  [
    'an identity that is kept after its disk was lost',
    { keepsIdentity: true },
    11,
    ['lostIdentity', 'restartedBehind'],
  ],
  ['reads that ask no other member', { readsWithoutQuorum: true }, 5, ['staleRead']],
  ['resent changes that cannot be recognised as repetitions', { changesDigests: true }, 61, ['refusedInForce']],
  ['more disks lost than the group tolerates', { losesMajority: true }, 4, ['recovers']],
];

describe('an injected fault is detected, and its history is shrunk', () => {
  test.each(faults)('%s', async (_name, injectedFaults, firstSeed, rules) => {
    for (let seed = firstSeed; seed < firstSeed + MAX_SEEDS; seed += 1) {
      const result = await searchSeed(seed, injectedFaults, SHRINK_RUNS);
      if (result.end.broken.length === 0) continue;
      expect(rules).toContain(result.end.broken[0]?.rule);
      expect(result.shrunk?.steps.length).toBeLessThan(result.history.steps.length);
      expect(result.shrunkEnd?.broken[0]?.rule).toBe(result.end.broken[0]?.rule);
      return;
    }
    expect('a violated rule').toBe('detected');
  });
});

function history(
  worldSeed: number,
  controllers: number,
  ringFiles: number,
  ...steps: readonly (readonly [ModelCommand, number])[]
): ModelHistory {
  return { worldSeed, controllers, ringFiles, steps: steps.map(([command, waitMs]) => ({ command, waitMs })) };
}

/** Shrunk histories that once violated a rule, each with the fault that it found. */
const regressions: readonly (readonly [string, ModelHistory])[] = [
  [
    'a read at a node that was partitioned while its members were replaced also asks the new members',
    history(
      1_991_886_318,
      3,
      2,
      [{ kind: 'kill', node: 5 }, 0],
      [{ kind: 'isolate', node: 5, bothWays: false }, 3_000],
      [{ kind: 'join' }, 8],
      [{ kind: 'powerLoss', node: 1, atWrite: 9 }, 0],
      [{ kind: 'change', node: 5, onOlder: false }, 1_500],
      [{ kind: 'propose', node: 0, bytes: 1 }, 60],
      [{ kind: 'propose', node: 0, bytes: 900 }, 20],
      [{ kind: 'powerLoss', node: 3, atWrite: 10 }, 20],
      [{ kind: 'replaceLost', node: 0, afterMs: 2_500 }, 1],
    ),
  ],
  [
    'a node that was killed during a write and then loses power at its next write can start again',
    history(
      1_745_195_637,
      3,
      3,
      [{ kind: 'kill', node: 5 }, 0],
      [{ kind: 'start', node: 5 }, 700],
      [{ kind: 'powerLoss', node: 2, atWrite: 1 }, 0],
      [{ kind: 'propose', node: 0, bytes: 1 }, 0],
      [{ kind: 'disturb', lost: 0, twice: 0, slow: 0, overtake: 0 }, 700],
    ),
  ],
];

describe('regressions found by histories', () => {
  test.each(regressions)('%s', async (_name, steps) => {
    expect((await runHistory(steps)).broken).toEqual([]);
  });
});
