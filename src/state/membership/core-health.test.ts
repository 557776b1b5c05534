import { describe, expect, test } from '@jest/globals';
import { memberView } from '../../sim/builders.js';
import { coreHealth } from './core-health.js';
import type { MemberView } from './core-health.js';

function memberViews(size: number, overrides: Readonly<Record<string, Partial<MemberView>>> = {}): MemberView[] {
  return Array.from({ length: size }, (_, i) => memberView(`h${i + 1}`, overrides[`h${i + 1}`]));
}
const silent = { inTouch: false, isComplete: false, learned: -1, top: -1 };
const behind = { isComplete: false, learned: 3 };
function figures(members: readonly MemberView[], self = 'h1#i'): unknown[] {
  const health = coreHealth(self, members);
  return [health.inTouch, health.holdingAll, health.spareLosses, health.warning];
}

describe('number of losses that the core tolerates', () => {
  test.each<[string, MemberView[], unknown[]]>([
    ['one member', memberViews(1), [1, 1, 0, 'noSpareLoss']],
    ['two members', memberViews(2), [2, 2, 0, 'noSpareLoss']],
    ['three', memberViews(3), [3, 3, 1, null]],
    ['three, one silent', memberViews(3, { h3: silent }), [2, 2, 0, 'noSpareLoss']],
    ['three, one behind', memberViews(3, { h3: behind }), [3, 2, 0, 'noSpareLoss']],
    ['three, one that cannot write', memberViews(3, { h2: { writable: false } }), [3, 2, 0, 'noSpareLoss']],
    ['three, the observing one behind', memberViews(3, { h1: behind }), [3, 2, 0, 'noSpareLoss']],
    ['three, two behind', memberViews(3, { h1: behind, h2: behind }), [3, 1, 0, 'noWholeQuorum']],
    ['four', memberViews(4), [4, 4, 1, null]],
    ['four, one silent', memberViews(4, { h4: silent }), [3, 3, 0, 'noSpareLoss']],
    ['four, one silent and one behind', memberViews(4, { h3: behind, h4: silent }), [3, 2, 0, 'noWholeQuorum']],
    ['five', memberViews(5), [5, 5, 2, null]],
    ['five, one silent', memberViews(5, { h2: silent }), [4, 4, 1, null]],
    ['five, one silent and one behind', memberViews(5, { h2: silent, h3: behind }), [4, 3, 0, 'noSpareLoss']],
    ['nine', memberViews(9), [9, 9, 4, null]],
  ])('%s', (_what, members, expected) => {
    expect(figures(members)).toEqual(expected);
  });

  test.each<[string, MemberView[], unknown[]]>([
    [
      'a member without contact to a majority',
      memberViews(3, { h2: silent, h3: silent }),
      [1, null, null, 'noMajority'],
    ],
    [
      'a member in contact with half of four',
      memberViews(4, { h3: silent, h4: silent }),
      [2, null, null, 'noMajority'],
    ],
  ])('%s reports the health as unknown', (_what, members, expected) => {
    expect(figures(members)).toEqual(expected);
  });

  test('a controller that is not a member reports the health as unknown, whatever contact it has', () => {
    expect(figures(memberViews(3), 'h9#i')).toEqual([3, null, null, 'notMember']);
  });

  test('if two members reach only the observing one and not each other, its loss is the worst case', () => {
    const apart = memberViews(3, { h2: { unheard: ['h3#i'] } });
    expect(figures(apart)).toEqual([3, 3, 0, 'noSpareLoss']);
    expect(coreHealth('h1#i', apart).details.map((d) => d.essential)).toEqual([true, false, false]);
  });

  test('the details name why a member does not count, and which members are essential', () => {
    const health = coreHealth('h1#i', memberViews(3, { h3: silent }));
    expect(health.details.map((d) => [d.name, d.lack, d.essential])).toEqual([
      ['h1', null, true],
      ['h2', null, true],
      ['h3', 'silent', false],
    ]);
    expect(coreHealth('h1#i', memberViews(3)).details.some((d) => d.essential)).toBe(false);
  });
});
