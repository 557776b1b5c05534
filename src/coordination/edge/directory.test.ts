import { describe, expect, test } from '@jest/globals';
import { addressesFor, DIRECTORY_TUNING } from './directory.js';
import type { ToldSluice } from './directory.js';

function sluice(name: string, zone: string, more: Partial<ToldSluice> = {}): ToldSluice {
  return { name, zone, region: zone.split('-')[0] as string, http: name, ready: true, heardAgoMs: 300, ...more };
}
const FLEET = [sluice('a1', 'north-a'), sluice('a2', 'north-a'), sluice('b1', 'north-b'), sluice('c1', 'south-a'), sluice('d1', 'west-a')];
function without(names: readonly string[], how: Partial<ToldSluice>): ToldSluice[] {
  return FLEET.map((s) => (names.includes(s.name) ? { ...s, ...how } : s));
}
function answer(told: readonly ToldSluice[], zone = 'north-a', near: readonly string[] = []): string {
  return addressesFor(told, { host: 'h.example', zone, region: zone.split('-')[0] as string }, near).sort().join(' ');
}

describe('where an origin is sent', () => {
  test('to the ready sluices of its own zone', () => {
    expect(answer(FLEET)).toBe('a1 a2');
    expect(answer(FLEET, 'north-b')).toBe('b1');
  });

  test.each([
    ['not ready', { ready: false }],
    ['unheard', { heardAgoMs: 2_100 }],
  ])('one that is %s is left out; a zone with none is filled by its region, a region with none by the next', (_why, how) => {
    expect(answer(without(['a1'], how))).toBe('a2');
    expect(answer(without(['a1', 'a2'], how))).toBe('b1');
    expect(answer(without(['a1', 'a2', 'b1'], how), 'north-a', ['west', 'south'])).toBe('d1');
    expect(answer(without(['a1', 'a2', 'b1', 'd1'], how), 'north-a', ['west', 'south'])).toBe('c1');
    expect(answer(without(['a1', 'a2', 'b1'], how))).toBe('c1 d1');
  });

  test('a zone that lost over half of its sluices shares with its region', () => {
    const more = [...FLEET, sluice('a3', 'north-a')];
    const lost = more.map((s) => (s.name === 'a1' || s.name === 'a2' ? { ...s, ready: false } : s));
    expect(answer(lost)).toBe('a3 b1');
    expect(answer(lost.map((s) => (s.ready ? s : { ...s, heardAgoMs: 31_000 })))).toBe('a3');
  });

  test('an unknown zone is served by its region, an unknown region by all', () => {
    expect(answer(FLEET, 'north-x')).toBe('a1 a2 b1');
    expect(answer(FLEET, 'east-a')).toBe('a1 a2 b1 c1 d1');
  });

  test('when none is heard, those last told as ready; when none ever was, nothing', () => {
    expect(answer(FLEET.map((s) => ({ ...s, heardAgoMs: 9_000 })))).toBe('a1 a2');
    expect(answer(FLEET.map((s) => ({ ...s, ready: false })))).toBe('');
    expect(answer([])).toBe('');
  });

  test('of many each host has its own 64, the same at each asking, and all are used alike', () => {
    const many: ToldSluice[] = [];
    for (let i = 0; i < 200; i += 1) many.push(sluice(`s${i}`, 'north-a'));
    const uses = new Map<string, number>();
    for (let h = 0; h < 300; h += 1) {
      const origin = { host: `h${h}.example`, zone: 'north-a', region: 'north' };
      const got = addressesFor(many, origin, []);
      expect(got.length).toBe(DIRECTORY_TUNING.most);
      expect(new Set(got).size).toBe(got.length);
      expect(addressesFor([...many].reverse(), origin, [])).toEqual(got);
      for (const a of got) uses.set(a, (uses.get(a) ?? 0) + 1);
    }
    const counts = [...uses.values()];
    expect(uses.size).toBe(200);
    expect(Math.max(...counts)).toBeLessThan(2 * Math.min(...counts));
  });
});
