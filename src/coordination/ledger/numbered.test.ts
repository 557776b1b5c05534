import { describe, expect, test } from '@jest/globals';
import { err, ok } from '../../base/result.js';
import { DEFAULT_LIMITS } from '../../state/serving.js';
import type { DoorMapping, Serving } from '../../state/serving.js';
import { withChanges } from '../../state/settings-tree.js';
import { createSimLedger } from '../../sim/sim-ledger.js';
import { createNumberedDoor } from './numbered.js';
import type { NumberedDoor } from './numbered.js';

const MAPPING: DoorMapping = {
  at: 0,
  host: 'a.example',
  prefix: '/p/',
  kind: 'stream',
  resumable: false,
  pinned: true,
  rank: 0,
  deadlineMs: 5_000,
  aimMs: 800,
  pauseMs: null,
  dispatches: 1,
  shares: [{ model: 'm', share: 1 }],
  split: false,
  homes: [],
};
function serving(number: number, mappings = 1): Serving {
  const out: Record<string, DoorMapping> = {};
  for (let i = 0; i < mappings; i += 1) out[`r-${i}`] = { ...MAPPING, at: i, prefix: `/p${i}/` };
  return { number, mappings: out, models: { m: { at: 0, fitnessPath: '/h', maxConns: 9, coldS: 0, coldRateS: 0, engine: null } }, limits: DEFAULT_LIMITS };
}

function sharedLedger() {
  const sim = createSimLedger(5);
  const doorAfter = (ms: number): NumberedDoor => createNumberedDoor({ ledger: sim.ledgerAfter(ms), clock: sim.clock });
  const now = (): Serving => sim.belief.configuration.serving as Serving;
  return { ...sim, doorAfter, now };
}

const TAKEN = (number: number) => ok({ tag: 'taken', number });
const STALE = (number: number) => err({ tag: 'stale', number });

describe('configurations by the operator’s own number', () => {
  test('numbers rise in uneven steps, each on the one before', async () => {
    const s = sharedLedger();
    const door = s.doorAfter(5);
    expect(await s.run(door.replace(0, serving(7), 'a'))).toEqual(TAKEN(7));
    expect(await s.run(door.replace(7, serving(12, 2), 'b'))).toEqual(TAKEN(12));
    expect(await s.run(door.replace(7, serving(20), 'c'))).toEqual(STALE(12));
    const read = await s.run(door.read());
    expect(read?.ok && read.value.number).toBe(12);
    expect(read?.ok && Object.keys(read.value.mappings)).toEqual(['r-0', 'r-1']);
  });

  test.each([
    ['a number that is not above', { number: 7 }, '/number'],
    ['a number below', { number: 3 }, '/number'],
    ['an unknown model', { models: {} }, '/mappings/r-0/shares/0/model'],
    ['a document cut short', null, '/'],
  ])('%s is invalid and changes nothing', async (_name, more, path) => {
    const s = sharedLedger();
    const door = s.doorAfter(5);
    await s.run(door.replace(0, serving(7), 'a'));
    const got = await s.run(door.replace(7, more === null ? null : { ...serving(9), ...more }, 'b'));
    expect(!got || got.ok || got.fault.tag !== 'invalid' ? got : got.fault.faults.map((f) => f.path)).toEqual([path]);
    expect(s.belief.slot).toBe(0);
    expect(s.now().number).toBe(7);
  });

  test('of two operators on the same base exactly one wins, whichever node each asked', async () => {
    for (const [first, second] of [[5, 40], [40, 5], [5, 5]] as const) {
      const s = sharedLedger();
      await s.run(s.doorAfter(5).replace(0, serving(7), 'a'));
      const both = [s.doorAfter(first).replace(7, serving(8, 2), 'x'), s.doorAfter(second).replace(7, serving(9, 3), 'y')];
      const got = await s.run(Promise.all(both));
      const taken = (got ?? []).filter((g) => g.ok);
      const lost = (got ?? []).filter((g) => !g.ok && g.fault.tag === 'stale');
      expect([taken.length, lost.length]).toEqual([1, 1]);
      expect(taken).toEqual([TAKEN(s.now().number)]);
    }
  });

  test('the same submission sent again, to any node and after newer ones, is the same success; another on that base is stale', async () => {
    const s = sharedLedger();
    await s.run(s.doorAfter(5).replace(0, serving(7), 'a'));
    await s.run(s.doorAfter(5).replace(7, serving(8, 2), 'b'));
    const again = await s.run(s.doorAfter(40).replace(0, serving(7), 'a'));
    expect(again?.ok && again.value.tag).toBe('taken');
    expect(await s.run(s.doorAfter(40).replace(0, serving(7), 'other'))).toEqual(STALE(8));
    expect(s.now().number).toBe(8);
    const twice = [s.doorAfter(5).replace(8, serving(11), 'c'), s.doorAfter(40).replace(8, serving(11), 'c')];
    expect((await s.run(Promise.all(twice)))?.map((g) => g.ok)).toEqual([true, true]);
  });

  test('an epoch that something else moved is no race lost', async () => {
    const s = sharedLedger();
    const door = s.doorAfter(50);
    await s.run(door.replace(0, serving(7), 'a'));
    const going = door.replace(7, serving(8), 'b');
    await s.world.advance(30);
    s.fold('other', { tag: 'configured', base: s.belief.epoch, changes: [{ path: ['deployment', 'nExtra'], value: 3 }] });
    expect(await s.run(going)).toEqual(TAKEN(8));
    expect(s.now().number).toBe(8);
    expect(s.belief.configuration.deployment).toEqual({ nExtra: 3 });
  });

  test('without a majority there is no success, and soon; what was agreed unseen is found at the next try', async () => {
    const s = sharedLedger();
    const door = s.doorAfter(5);
    s.cut(true);
    expect(await s.run(door.replace(0, serving(7), 'a'), 1_000)).toEqual(err({ tag: 'noMajority' }));
    expect(await s.run(door.read(), 1_000)).toEqual(err({ tag: 'noMajority' }));
    expect(await s.run(door.evacuate('z', true), 1_000)).toEqual(err({ tag: 'noMajority' }));
    s.cut(false);
    s.deaf(true);
    expect(await s.run(door.replace(0, serving(7), 'a'))).toEqual(err({ tag: 'noMajority' }));
    s.deaf(false);
    expect(await s.run(door.replace(0, serving(7), 'a'))).toEqual(TAKEN(7));
    expect(s.belief.slot).toBe(0);
  });

  test('of a thousand mappings a change of one travels alone, and is quick', async () => {
    const s = sharedLedger();
    const door = s.doorAfter(1);
    await s.run(door.replace(0, serving(7, 1_000), 'a'));
    const next = withChanges(serving(9, 1_000), [{ path: ['mappings', 'r-500', 'deadlineMs'], value: 77 }, { path: ['mappings', 'r-0'] }]) as Serving;
    for (const [at, m] of Object.values(next.mappings).entries()) (m as { at: number }).at = at;
    await s.run(door.replace(7, next, 'b'));
    expect(s.now().mappings['r-500']?.deadlineMs).toBe(77);
    expect(Object.keys(s.now().mappings).length).toBe(999);
    expect(s.entryBytes[1]).toBeLessThan(600);
  });
});

describe('evacuations', () => {
  test('each order is a success however often it is sent', async () => {
    const s = sharedLedger();
    const door = s.doorAfter(5);
    for (const begun of [false, true, true, false, false, true]) {
      expect(await s.run(door.evacuate('z', begun))).toEqual(ok({ tag: 'taken' }));
      expect(s.belief.evacuated['z'] !== undefined).toBe(begun);
    }
  });

  test('an order that is agreed late, after the one that takes it back, does nothing', async () => {
    const s = sharedLedger();
    const slow = s.doorAfter(400).evacuate('z', true);
    expect(await s.run(s.doorAfter(5).evacuate('z', true))).toEqual(ok({ tag: 'taken' }));
    expect(await s.run(s.doorAfter(5).evacuate('z', false))).toEqual(ok({ tag: 'taken' }));
    await s.world.advance(600);
    expect(s.belief.evacuated).toEqual({});
    void slow;
  });
});
