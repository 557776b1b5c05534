import { describe, expect, test } from '@jest/globals';
import type { Candidate, SelectionContext } from './candidate.js';
import { selectAmong, POLICIES } from './policies.js';

const base: Candidate = {
  index: 0,
  id: 'w0',
  address: 'a',
  zone: 'z1',
  region: 'r1',
  leaving: false,
  evacuated: false,
  healthy: true,
  answersUs: true,
  running: 0,
  limit: 8,
  agreed: true,
  knownFraction: 0,
};
const ctx: SelectionContext = {
  zone: 'z1',
  region: 'r1',
  ownRegion: 'r1',
  homes: null,
  partitioned: false,
  seed: 's',
  avoid: new Set(),
  meanLoad: 0,
};
function candidateWith(overrides: Partial<Candidate>): Candidate {
  return { ...base, ...overrides };
}
function chosen(candidates: readonly Candidate[], contextOverrides: Partial<SelectionContext> = {}): string {
  const result = selectAmong(candidates, { ...ctx, ...contextOverrides }, POLICIES);
  return result.tag === 'chosen' ? result.candidate.id : `none: ${result.stoppedBy}`;
}

describe('worker selection', () => {
  test.each<[string, Partial<Candidate>, Partial<SelectionContext>]>([
    ['homes', {}, { homes: ['r2'] }],
    ['leaving', { leaving: true }, {}],
    ['evacuated', { evacuated: true }, {}],
    ['health', { healthy: false }, {}],
    ['partition', { region: 'r2' }, { partitioned: true }],
    ['partition', { answersUs: false }, { partitioned: true }],
    ['untried', {}, { avoid: new Set([0]) }],
    ['room', { running: 8 }, {}],
  ])('the filter %s excludes a worker and is named in the result', (name, candidateOverrides, contextOverrides) => {
    expect(chosen([candidateWith(candidateOverrides)], contextOverrides)).toBe(`none: ${name}`);
  });

  test('no candidates at all are reported as a missing model', () => {
    expect(chosen([])).toBe('none: model');
  });

  test('a cached prefix outweighs the distance to another region', () => {
    const far = candidateWith({ index: 1, id: 'far', zone: 'z2', region: 'r2', knownFraction: 0.8 });
    expect(chosen([base, far])).toBe('far');
  });

  test('a worker with the prefix cached that is above its load bound loses to the next one in the home regions', () => {
    const busy = candidateWith({ index: 1, id: 'busy', knownFraction: 1, running: 7 });
    const idle = candidateWith({ index: 2, id: 'idle' });
    const outsideHomes = candidateWith({ index: 3, id: 'abroad', region: 'r9', zone: 'z9' });
    expect(chosen([busy, idle, outsideHomes], { meanLoad: 0.3, homes: ['r1'] })).toBe('idle');
  });

  test('for a prefix that no worker has cached, the hash selects the same worker whatever the order of the candidates', () => {
    const all = ['a', 'b', 'c', 'd'].map((id, position) => candidateWith({ index: position, id }));
    const picks = new Set<string>();
    for (let i = 0; i < 40; i += 1) {
      expect(chosen(all, { seed: `p${i}` })).toBe(chosen([...all].reverse(), { seed: `p${i}` }));
      picks.add(chosen(all, { seed: `p${i}` }));
    }
    expect(picks.size).toBe(4);
  });
});
