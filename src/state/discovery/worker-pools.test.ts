import { describe, expect, test } from '@jest/globals';
import { createWorkerPools, SAMPLING_THRESHOLD } from './worker-pools.js';
import type { PoolQuery } from './worker-pools.js';
import type { WorkerRow } from './worker-row.js';

function rows(n: number): WorkerRow[] {
  return Array.from(
    { length: n },
    (_, i) =>
      ({
        index: i,
        listed: { id: `w${i}`, model: 'm', zone: `z${i % 6}`, region: `r${i % 3}` },
      }) as WorkerRow,
  );
}
function poolsOf(all: readonly WorkerRow[]): ReturnType<typeof createWorkerPools> {
  const pools = createWorkerPools();
  pools.rebuild(all);
  return pools;
}
const QUERY: PoolQuery = { model: 'm', zone: 'z0', homes: null, seed: 'rules', holders: [] };

describe('pools of workers', () => {
  test('all workers of a small model are considered', () => {
    const pools = poolsOf(rows(SAMPLING_THRESHOLD));
    expect(pools.sample(QUERY)).toBeNull();
    expect(pools.all('m').length).toBe(SAMPLING_THRESHOLD);
    expect(pools.all('ghost')).toEqual([]);
  });

  test('a large model is sampled, including the holders of the prefix and workers of the own zone', () => {
    const all = rows(2_000);
    const pools = poolsOf(all);
    const sample = pools.sample({ ...QUERY, holders: [all[1_234] as WorkerRow] }) ?? [];
    expect(sample.length).toBeLessThanOrEqual(SAMPLING_THRESHOLD + 8);
    expect(sample.some((x) => x.row.index === 1_234)).toBe(true);
    expect(sample.filter((x) => x.row.listed.zone === 'z0').length).toBeGreaterThanOrEqual(24);
  });

  test('all proxies agree on the same workers for a prefix and rotate through all others', () => {
    const all = rows(600);
    const [first, second] = [poolsOf(all), poolsOf([...all].reverse())];
    const agreedIndices = (pools: typeof first): number[] =>
      (pools.sample(QUERY) ?? [])
        .filter((x) => x.agreed)
        .map((x) => x.row.index)
        .sort();
    expect(agreedIndices(first)).toEqual(agreedIndices(second));
    const seen = new Set<number>();
    for (let i = 0; i < 60; i += 1) for (const x of first.sample(QUERY) ?? []) seen.add(x.row.index);
    expect(seen.size).toBe(600);
  });

  test('only workers in the homes are sampled', () => {
    const pools = poolsOf(rows(600));
    const sample = pools.sample({ ...QUERY, homes: ['r1'] }) ?? [];
    expect(sample.length).toBeGreaterThan(16);
    expect(sample.filter((x) => x.row.listed.region !== 'r1' && x.row.listed.zone !== 'z0')).toEqual([]);
    expect(pools.sample({ ...QUERY, homes: ['nowhere'] })).toEqual([]);
  });
});
