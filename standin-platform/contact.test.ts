import { describe, expect, test } from '@jest/globals';
import { contactOf } from './contact.js';
import type { Planned } from './records.js';

const CONTACT_MS = 4_000;
const EDGE = 'e1';

function on(edge: string, core: boolean): (at: number, fault: Planned['fault']) => Planned {
  return (at, fault) => ({ what: 'planned', at, edge, core, fault });
}
const edge = on(EDGE, false);
const [first, second, third] = ['c1', 'c2', 'c3'].map((name) => on(name, true)) as [
  typeof edge,
  typeof edge,
  typeof edge,
];
const STARTED = [first, second, third, edge].map((event) => event(0, 'start'));

function contact(...events: Planned[]): ReturnType<typeof contactOf> {
  return contactOf([...STARTED, ...events], { contactMs: CONTACT_MS });
}

describe('a proxy in touch', () => {
  test('is so once the contact time has passed since the last event on the core', () => {
    const { inTouch } = contact(first(20_000, 'freeze'), first(22_000, 'thaw'));
    expect([19_999, 20_000, 26_000, 26_001].map((at) => inTouch(EDGE, at))).toEqual([true, false, false, true]);
  });

  test('is not so while it stands still itself, however long', () => {
    const { inTouch, inOuterTouch } = contact(edge(20_000, 'freeze'), edge(40_000, 'thaw'));
    expect([39_000, 44_000, 44_001].map((at) => inTouch(EDGE, at))).toEqual([false, false, true]);
    expect(inOuterTouch(EDGE, 39_000, 39_000)).toBe(false);
    expect(inTouch('e2', 39_000)).toBe(true);
  });

  test('is not so while half of the core or more is down, and is so with one of three away for long', () => {
    const one = contact(first(20_000, 'kill'));
    expect(one.inTouch(EDGE, 30_000)).toBe(true);
    const two = contact(first(20_000, 'kill'), second(20_500, 'freeze'), second(40_000, 'thaw'));
    expect([30_000, 44_000, 44_001].map((at) => two.inTouch(EDGE, at))).toEqual([false, false, true]);
  });

  test('is so in the outer sense with a core that is unsettled, unless a majority was away meanwhile', () => {
    const { inTouch, inOuterTouch } = contact(
      first(20_000, 'freeze'),
      first(22_000, 'thaw'),
      second(30_000, 'kill'),
      third(30_100, 'freeze'),
      third(31_000, 'thaw'),
    );
    expect(inTouch(EDGE, 23_000)).toBe(false);
    expect(inOuterTouch(EDGE, 15_000, 23_000)).toBe(true);
    expect(inOuterTouch(EDGE, 15_000, 33_000)).toBe(false);
    expect(inOuterTouch(EDGE, 36_000, 37_000)).toBe(true);
  });
});
