import { describe, expect, test } from '@jest/globals';
import { createWorkerPools, LOOKED_AT } from './worker-pools.js';
import type { PoolQuery } from './worker-pools.js';
import type { WorkerRow } from './worker-row.js';

function rows(n: number): WorkerRow[] {
  return Array.from(
    { length: n },
    (_, ix) =>
      ({ index: ix, listed: { id: `w${ix}`, model: 'm', zone: `z${ix % 6}`, region: `r${ix % 3}` } }) as WorkerRow,
  );
}
function poolsOf(all: readonly WorkerRow[]): ReturnType<typeof createWorkerPools> {
  const made = createWorkerPools();
  made.rebuild(all);
  return made;
}
const ask: PoolQuery = { model: 'm', zone: 'z0', homes: null, seed: 'rules', holders: [] };

describe('pools of workers', () => {
  test('a small model is looked at as a whole', () => {
    const p = poolsOf(rows(LOOKED_AT));
    expect(p.sample(ask)).toBeNull();
    expect(p.all('m').length).toBe(LOOKED_AT);
    expect(p.all('ghost')).toEqual([]);
  });

  test('of a large one only some, its holders of the prefix and its own zone among them', () => {
    const all = rows(2_000);
    const p = poolsOf(all);
    const few = p.sample({ ...ask, holders: [all[1_234] as WorkerRow] }) ?? [];
    expect(few.length).toBeLessThanOrEqual(LOOKED_AT + 8);
    expect(few.some((x) => x.row.index === 1_234)).toBe(true);
    expect(few.filter((x) => x.row.listed.zone === 'z0').length).toBeGreaterThanOrEqual(24);
  });

  test('every proxy agrees on the same ones for a prefix, and turns through all the others', () => {
    const all = rows(600);
    const [a, b] = [poolsOf(all), poolsOf([...all].reverse())];
    const agreed = (p: typeof a): number[] =>
      (p.sample(ask) ?? [])
        .filter((x) => x.agreed)
        .map((x) => x.row.index)
        .sort();
    expect(agreed(a)).toEqual(agreed(b));
    const seen = new Set<number>();
    for (let i = 0; i < 60; i += 1) for (const x of a.sample(ask) ?? []) seen.add(x.row.index);
    expect(seen.size).toBe(600);
  });

  test('homes bound what is looked at', () => {
    const p = poolsOf(rows(600));
    const few = p.sample({ ...ask, homes: ['r1'] }) ?? [];
    expect(few.length).toBeGreaterThan(16);
    expect(few.filter((x) => x.row.listed.region !== 'r1' && x.row.listed.zone !== 'z0')).toEqual([]);
    expect(p.sample({ ...ask, homes: ['nowhere'] })).toEqual([]);
  });
});
