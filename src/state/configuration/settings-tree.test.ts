import { describe, expect, test } from '@jest/globals';
import { changesBack, differences, resolveModel, withChanges } from './settings-tree.js';
import type { Configuration } from './settings-tree.js';
import { createRng, below } from '../../transport/rng.js';

const cfg: Configuration = {
  zones: { z1: { region: 'north' }, z2: { region: 'south' } },
  deployment: { nExtra: 3, qTar: 2 },
  regions: { north: { settings: { qTar: 4 }, models: { poet: { minTarget: 5 }, clerk: { qTar: 9, zones: ['z1'] } } } },
};

describe('settings tree', () => {
  test('a model inherits from its region, a region from the deployment, and each level is told', () => {
    const poet = resolveModel(cfg, 'north', 'poet');
    expect([poet.values.minTarget, poet.values.qTar, poet.values.nExtra, poet.values.holdS]).toEqual([5, 4, 3, 600]);
    expect([poet.levels.minTarget, poet.levels.qTar, poet.levels.nExtra, poet.levels.holdS]).toEqual([
      'model',
      'region',
      'deployment',
      'default',
    ]);
    const clerk = resolveModel(cfg, 'north', 'clerk');
    expect([clerk.values.qTar, clerk.values.zones]).toEqual([9, ['z1']]);
    expect(poet.values.zones).toEqual(['z1', 'z2']);
  });

  test('any two trees: the differences applied to one give the other', () => {
    const rng = createRng(7);
    function tree(depth: number): unknown {
      if (depth === 0 || below(rng, 4) === 0) return below(rng, 3) === 0 ? [below(rng, 3)] : below(rng, 5);
      const out: Record<string, unknown> = {};
      for (const k of ['a', 'b', '__proto__x', 'c']) if (below(rng, 3) > 0) out[k] = tree(depth - 1);
      return out;
    }
    for (let i = 0; i < 300; i += 1) {
      const a = tree(4);
      const b = tree(4);
      expect(withChanges(a, differences(a, b))).toEqual(b);
      expect(differences(b, structuredClone(b))).toEqual([]);
    }
  });

  test('any changes: the changes back applied to what they made give what was before', () => {
    const rng = createRng(8);
    function tree(depth: number): unknown {
      if (depth === 0 || below(rng, 4) === 0) return below(rng, 5);
      const out: Record<string, unknown> = {};
      for (const k of ['a', 'b', 'c']) if (below(rng, 3) > 0) out[k] = tree(depth - 1);
      return out;
    }
    function path(): string[] {
      return Array.from({ length: below(rng, 4) }, () => ['a', 'b', 'c'][below(rng, 3)] as string);
    }
    for (let i = 0; i < 1_000; i += 1) {
      const base = tree(3);
      const changes = Array.from({ length: below(rng, 5) }, () =>
        below(rng, 3) === 0 ? { path: path().concat('a') } : { path: path(), value: tree(2) },
      );
      const made = withChanges(base, changes);
      expect(withChanges(made, changesBack(base, changes))).toEqual(base);
    }
  });

  // Each change copied the whole table, so that a change of all routes stopped every process for seconds at once.
  test('the changes back of a large table cost about as much as the changes themselves', () => {
    const entries = Object.fromEntries(Array.from({ length: 3_000 }, (_, i) => [`r-${i}`, { at: i }]));
    const changes = Object.keys(entries).map((name) => ({ path: ['routes', name], value: { at: -1 } }));
    function timeOf(make: typeof withChanges | typeof changesBack): number {
      const from = performance.now();
      make({ routes: entries }, changes);
      return performance.now() - from;
    }
    const forwardMs = Math.max(10, timeOf(withChanges));
    expect(timeOf(changesBack)).toBeLessThan(50 * forwardMs);
  });

  test('neither the tree nor the changes are touched, and what did not change is the same branch', () => {
    const base = { a: { x: 1, y: { z: 2 } }, b: { x: 1 } };
    const changes = [{ path: ['a', 'y'], value: { z: 3 } }, { path: ['a', 'y', 'w'], value: 4 }, { path: ['a', 'x'] }];
    const kept = structuredClone({ base, changes });
    const made = withChanges(base, changes) as typeof base;
    expect(made).toEqual({ a: { y: { z: 3, w: 4 } }, b: { x: 1 } });
    expect({ base, changes }).toEqual(kept);
    expect(made.b).toBe(base.b);
  });

  test('a hostile key stays a plain key', () => {
    const made = withChanges({}, [{ path: ['__proto__', 'polluted'], value: 1 }]) as Record<string, unknown>;
    expect(({} as Record<string, unknown>)['polluted']).toBeUndefined();
    expect(Object.keys(made)).toEqual(['__proto__']);
  });
});
