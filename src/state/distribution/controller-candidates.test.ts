import { expect, test } from '@jest/globals';
import { rankCandidates } from './controller-candidates.js';
import type { Candidate } from './controller-candidates.js';

const own = { name: 's1', zone: 'a-1', region: 'a' };
function candidate(name: string | null, zone: string, more: { failed?: boolean; up?: boolean } = {}): Candidate {
  return {
    address: `${name ?? 'seed'}:1`,
    name,
    location: { zone, region: zone.slice(0, 1), up: more.up ?? true },
    failed: more.failed ?? false,
  };
}

test('the own zone comes before the own region, then the rest; what failed or is down comes last', () => {
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

test('equally near ones are shared out among the proxies, and the order is always the same for one', () => {
  const all = ['h1', 'h2', 'h3', 'h4', 'h5'].map((n) => candidate(n, 'b-1'));
  const firsts = new Map<string, number>();
  for (let i = 0; i < 500; i += 1) {
    const name = rankCandidates({ ...own, name: `s${i}` }, all)[0]?.name ?? '';
    expect(rankCandidates({ ...own, name: `s${i}` }, [...all].reverse())[0]?.name).toBe(name);
    firsts.set(name, (firsts.get(name) ?? 0) + 1);
  }
  expect(Math.min(...firsts.values())).toBeGreaterThan(70);
  expect(firsts.size).toBe(5);
});
