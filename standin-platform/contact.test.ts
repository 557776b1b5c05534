import { describe, expect, test } from '@jest/globals';
import { contactOf } from './contact.js';
import type { Planned } from './records.js';

const CONTACT_MS = 4_000;
const EDGE = 'e1';

function eventsOf(edge: string, core: boolean): (at: number, fault: Planned['fault']) => Planned {
  return (at, fault) => ({ what: 'planned', at, edge, core, fault });
}
const edge = eventsOf(EDGE, false);
const [first, second, third] = ['c1', 'c2', 'c3'].map((name) => eventsOf(name, true)) as [
  typeof edge,
  typeof edge,
  typeof edge,
];
const STARTED = [first, second, third, edge].map((event) => event(0, 'start'));

function contactAfter(...events: Planned[]): ReturnType<typeof contactOf> {
  return contactOf([...STARTED, ...events], { contactMs: CONTACT_MS });
}

describe('a proxy in contact', () => {
  test('is in contact once the contact time has passed since the last event on the core', () => {
    const { inTouch } = contactAfter(first(20_000, 'freeze'), first(22_000, 'thaw'));
    expect([19_999, 20_000, 26_000, 26_001].map((at) => inTouch(EDGE, at))).toEqual([true, false, false, true]);
  });

  test('is not in contact while it is paused itself, however long', () => {
    const { inTouch, inTouchWithMajority } = contactAfter(edge(20_000, 'freeze'), edge(40_000, 'thaw'));
    expect([39_000, 44_000, 44_001].map((at) => inTouch(EDGE, at))).toEqual([false, false, true]);
    expect(inTouchWithMajority(EDGE, 39_000, 39_000)).toBe(false);
    expect(inTouch('e2', 39_000)).toBe(true);
  });

  test('is not in contact while half of the core or more is down, but is with one of three down for long', () => {
    const one = contactAfter(first(20_000, 'kill'));
    expect(one.inTouch(EDGE, 30_000)).toBe(true);
    const two = contactAfter(first(20_000, 'kill'), second(20_500, 'freeze'), second(40_000, 'thaw'));
    expect([30_000, 44_000, 44_001].map((at) => two.inTouch(EDGE, at))).toEqual([false, false, true]);
  });

  test('is in contact with the majority of an unsettled core, unless the majority was lost meanwhile', () => {
    const { inTouch, inTouchWithMajority } = contactAfter(
      first(20_000, 'freeze'),
      first(22_000, 'thaw'),
      second(30_000, 'kill'),
      third(30_100, 'freeze'),
      third(31_000, 'thaw'),
    );
    expect(inTouch(EDGE, 23_000)).toBe(false);
    expect(inTouchWithMajority(EDGE, 15_000, 23_000)).toBe(true);
    expect(inTouchWithMajority(EDGE, 15_000, 33_000)).toBe(false);
    expect(inTouchWithMajority(EDGE, 36_000, 37_000)).toBe(true);
  });
});
