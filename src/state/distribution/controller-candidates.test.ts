import { expect, test } from '@jest/globals';
import { rankCandidates } from './controller-candidates.js';
import type { Candidate } from './controller-candidates.js';

const own = { name: 's1', zone: 'a-1', region: 'a' };
function candidate(name: string | null, zone: string, overrides: { failed?: boolean; up?: boolean } = {}): Candidate {
  return {
    address: `${name ?? 'seed'}:1`,
    name,
    location: { zone, region: zone.slice(0, 1), up: overrides.up ?? true },
    failed: overrides.failed ?? false,
  };
}

test('ranks the own zone before the own region before the rest, and down or failed controllers last', () => {
  const all = [
    candidate('h1', 'b-1'),
    candidate('h2', 'a-2'),
    candidate('h3', 'a-1'),
    candidate('h4', 'a-1', { up: false }),
    candidate('h5', 'a-1', { failed: true }),
    candidate(null, 'a-1'),
  ];
  expect(rankCandidates(own, all).map((c) => c.name)).toEqual(['h3', 'h2', 'h1', null, 'h4', 'h5']);
});

test('spreads equally near controllers over the proxies, and ranks them in the same order each time for one proxy', () => {
  const all = ['h1', 'h2', 'h3', 'h4', 'h5'].map((n) => candidate(n, 'b-1'));
  const firstCounts = new Map<string, number>();
  for (let i = 0; i < 500; i += 1) {
    const name = rankCandidates({ ...own, name: `s${i}` }, all)[0]?.name ?? '';
    expect(rankCandidates({ ...own, name: `s${i}` }, [...all].reverse())[0]?.name).toBe(name);
    firstCounts.set(name, (firstCounts.get(name) ?? 0) + 1);
  }
  expect(Math.min(...firstCounts.values())).toBeGreaterThan(70);
  expect(firstCounts.size).toBe(5);
});
