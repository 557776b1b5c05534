import { describe, expect, test } from '@jest/globals';
import { inverseChanges, differences, resolveModel, withChanges } from './settings-tree.js';
import type { Configuration } from './settings-tree.js';
import { createRng, randomInt } from '../../transport/rng.js';

const cfg: Configuration = {
  zones: { z1: { region: 'north' }, z2: { region: 'south' } },
  deployment: { nExtra: 3, qTar: 2 },
  regions: { north: { settings: { qTar: 4 }, models: { poet: { minTarget: 5 }, clerk: { qTar: 9, zones: ['z1'] } } } },
};

describe('settings tree', () => {
  test('a model inherits from its region, a region from the deployment, and the level of each value is reported', () => {
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

  test('for any two trees, the differences applied to one give the other', () => {
    const rng = createRng(7);
    function tree(depth: number): unknown {
      if (depth === 0 || randomInt(rng, 4) === 0)
        return randomInt(rng, 3) === 0 ? [randomInt(rng, 3)] : randomInt(rng, 5);
      const out: Record<string, unknown> = {};
      for (const key of ['a', 'b', '__proto__x', 'c']) if (randomInt(rng, 3) > 0) out[key] = tree(depth - 1);
      return out;
    }
    for (let i = 0; i < 300; i += 1) {
      const a = tree(4);
      const b = tree(4);
      expect(withChanges(a, differences(a, b))).toEqual(b);
      expect(differences(b, structuredClone(b))).toEqual([]);
    }
  });

  test('for any changes, the inverse changes applied to their result give the original tree', () => {
    const rng = createRng(8);
    function tree(depth: number): unknown {
      if (depth === 0 || randomInt(rng, 4) === 0) return randomInt(rng, 5);
      const out: Record<string, unknown> = {};
      for (const key of ['a', 'b', 'c']) if (randomInt(rng, 3) > 0) out[key] = tree(depth - 1);
      return out;
    }
    function path(): string[] {
      return Array.from({ length: randomInt(rng, 4) }, () => ['a', 'b', 'c'][randomInt(rng, 3)] as string);
    }
    for (let i = 0; i < 1_000; i += 1) {
      const base = tree(3);
      const changes = Array.from({ length: randomInt(rng, 5) }, () =>
        randomInt(rng, 3) === 0 ? { path: path().concat('a') } : { path: path(), value: tree(2) },
      );
      const changed = withChanges(base, changes);
      expect(withChanges(changed, inverseChanges(base, changes))).toEqual(base);
    }
  });

  // Guards against a copy of the whole table for each change: a change of all routes then blocked every process for
  // seconds at the same time.
  test('the inverse changes of a large table cost about as much as the changes themselves', () => {
    const entries = Object.fromEntries(Array.from({ length: 3_000 }, (_, i) => [`r-${i}`, { at: i }]));
    const changes = Object.keys(entries).map((name) => ({ path: ['routes', name], value: { at: -1 } }));
    function durationOf(operation: typeof withChanges | typeof inverseChanges): number {
      const startedAt = performance.now();
      operation({ routes: entries }, changes);
      return performance.now() - startedAt;
    }
    const forwardMs = Math.max(10, durationOf(withChanges));
    expect(durationOf(inverseChanges)).toBeLessThan(50 * forwardMs);
  });

  test('neither the tree nor the changes are modified, and an unchanged branch is shared, not copied', () => {
    const base = { a: { x: 1, y: { z: 2 } }, b: { x: 1 } };
    const changes = [{ path: ['a', 'y'], value: { z: 3 } }, { path: ['a', 'y', 'w'], value: 4 }, { path: ['a', 'x'] }];
    const original = structuredClone({ base, changes });
    const changed = withChanges(base, changes) as typeof base;
    expect(changed).toEqual({ a: { y: { z: 3, w: 4 } }, b: { x: 1 } });
    expect({ base, changes }).toEqual(original);
    expect(changed.b).toBe(base.b);
  });

  test('a key such as __proto__ stays a plain key', () => {
    const changed = withChanges({}, [{ path: ['__proto__', 'polluted'], value: 1 }]) as Record<string, unknown>;
    expect(({} as Record<string, unknown>)['polluted']).toBeUndefined();
    expect(Object.keys(changed)).toEqual(['__proto__']);
  });
});
