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
function one(over: Partial<Candidate>): Candidate {
  return { ...base, ...over };
}
function chosen(all: readonly Candidate[], c: Partial<SelectionContext> = {}): string {
  const response = selectAmong(all, { ...ctx, ...c }, POLICIES);
  return response.tag === 'chosen' ? response.candidate.id : `none: ${response.stoppedBy}`;
}

describe('placement', () => {
  test.each<[string, Partial<Candidate>, Partial<SelectionContext>]>([
    ['homes', {}, { homes: ['r2'] }],
    ['leaving', { leaving: true }, {}],
    ['evacuated', { evacuated: true }, {}],
    ['health', { healthy: false }, {}],
    ['partition', { region: 'r2' }, { partitioned: true }],
    ['partition', { answersUs: false }, { partitioned: true }],
    ['untried', {}, { avoid: new Set([0]) }],
    ['room', { running: 8 }, {}],
  ])('%s keeps a worker out and is named', (name, over, c) => {
    expect(chosen([one(over)], c)).toBe(`none: ${name}`);
  });

  test('no worker at all is told as such', () => {
    expect(chosen([])).toBe('none: model');
  });

  test('the known prefix draws a request even to another zone', () => {
    const far = one({ index: 1, id: 'far', zone: 'z2', region: 'r2', knownFraction: 0.8 });
    expect(chosen([base, far])).toBe('far');
  });

  test('past its bound the holder of the prefix spills to the next inside the homes', () => {
    const busy = one({ index: 1, id: 'busy', knownFraction: 1, running: 7 });
    const idle = one({ index: 2, id: 'idle' });
    const abroad = one({ index: 3, id: 'abroad', region: 'r9', zone: 'z9' });
    expect(chosen([busy, idle, abroad], { meanLoad: 0.3, homes: ['r1'] })).toBe('idle');
  });

  test('strangers to a prefix agree on its worker by its hash', () => {
    const all = ['a', 'b', 'c', 'd'].map((id, ix) => one({ index: ix, id }));
    const picks = new Set<string>();
    for (let i = 0; i < 40; i += 1) {
      expect(chosen(all, { seed: `p${i}` })).toBe(chosen([...all].reverse(), { seed: `p${i}` }));
      picks.add(chosen(all, { seed: `p${i}` }));
    }
    expect(picks.size).toBe(4);
  });
});
