import { describe, expect, test } from '@jest/globals';
import { memberView } from '../../sim/builders.js';
import { coreHealth } from './core-health.js';
import type { MemberView } from './core-health.js';

function core(size: number, over: Readonly<Record<string, Partial<MemberView>>> = {}): MemberView[] {
  return Array.from({ length: size }, (_, i) => memberView(`h${i + 1}`, over[`h${i + 1}`]));
}
const silent = { inTouch: false, holdsAll: false, learned: -1, top: -1 };
const behind = { holdsAll: false, learned: 3 };
function figures(members: readonly MemberView[], self = 'h1#i'): unknown[] {
  const health = coreHealth(self, members);
  return [health.inTouch, health.holdingAll, health.spareLosses, health.warning];
}

describe('losses that the core bears', () => {
  test.each<[string, MemberView[], unknown[]]>([
    ['one member', core(1), [1, 1, 0, 'noSpareLoss']],
    ['two members', core(2), [2, 2, 0, 'noSpareLoss']],
    ['three', core(3), [3, 3, 1, null]],
    ['three, one silent', core(3, { h3: silent }), [2, 2, 0, 'noSpareLoss']],
    ['three, one behind', core(3, { h3: behind }), [3, 2, 0, 'noSpareLoss']],
    ['three, one that cannot write', core(3, { h2: { writable: false } }), [3, 2, 0, 'noSpareLoss']],
    ['three, this one behind', core(3, { h1: behind }), [3, 2, 0, 'noSpareLoss']],
    ['three, two behind', core(3, { h1: behind, h2: behind }), [3, 1, 0, 'noWholeQuorum']],
    ['four', core(4), [4, 4, 1, null]],
    ['four, one silent', core(4, { h4: silent }), [3, 3, 0, 'noSpareLoss']],
    ['four, one silent and one behind', core(4, { h3: behind, h4: silent }), [3, 2, 0, 'noWholeQuorum']],
    ['five', core(5), [5, 5, 2, null]],
    ['five, one silent', core(5, { h2: silent }), [4, 4, 1, null]],
    ['five, one silent and one behind', core(5, { h2: silent, h3: behind }), [4, 3, 0, 'noSpareLoss']],
    ['nine', core(9), [9, 9, 4, null]],
  ])('%s', (_what, members, expected) => {
    expect(figures(members)).toEqual(expected);
  });

  test.each<[string, MemberView[], unknown[]]>([
    ['a member that hears no majority', core(3, { h2: silent, h3: silent }), [1, null, null, 'noMajority']],
    ['half of four', core(4, { h3: silent, h4: silent }), [2, null, null, 'noMajority']],
  ])('%s knows nothing', (_what, members, expected) => {
    expect(figures(members)).toEqual(expected);
  });

  test('one that is no member knows nothing, whatever it hears', () => {
    expect(figures(core(3), 'h9#i')).toEqual([3, null, null, 'notMember']);
  });

  test('members that reach each other only through this one: its loss is the worst one', () => {
    const apart = core(3, { h2: { unheard: ['h3#i'] } });
    expect(figures(apart)).toEqual([3, 3, 0, 'noSpareLoss']);
    expect(coreHealth('h1#i', apart).details.map((d) => d.essential)).toEqual([true, false, false]);
  });

  test('a member names what it lacks, and who is essential', () => {
    const health = coreHealth('h1#i', core(3, { h3: silent }));
    expect(health.details.map((d) => [d.name, d.lack, d.essential])).toEqual([
      ['h1', null, true],
      ['h2', null, true],
      ['h3', 'silent', false],
    ]);
    expect(coreHealth('h1#i', core(3)).details.some((d) => d.essential)).toBe(false);
  });
});
