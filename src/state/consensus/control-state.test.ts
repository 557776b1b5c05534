import { describe, expect, test } from '@jest/globals';
import { emptyControlState, foldBatch, isControlState } from './control-state.js';
import type { ControlState, Outcome } from './control-state.js';
import type { Command, Entry } from './entry.js';

let serial = 0;
function entry(command: Command, over: Partial<Entry> = {}): Entry {
  return { id: `e${(serial += 1)}`, author: 'h1', wall: 7, cause: 'why', act: command, ...over };
}
function fold(b: ControlState, ...entries: Entry[]): Outcome[] {
  return foldBatch(b, b.slot + 1, { id: `b${(serial += 1)}`, entries });
}
function bootstrapped(): ControlState {
  const b = emptyControlState();
  const members = ['a', 'b', 'c'].map((name) => ({ name, incarnation: '1', address: `${name}:1` }));
  fold(b, entry({ tag: 'bootstrapped', ledger: 'l', ticketKey: 'k', members }));
  return b;
}
const applied = { tag: 'applied' };

describe('the fold of the ledger', () => {
  test('of two changes on one base the first wins, even within one slot', () => {
    const b = bootstrapped();
    const change = (value: number): Command => ({
      tag: 'configured',
      base: 0,
      changes: [{ path: ['deployment', 'nExtra'], value }],
    });
    expect(fold(b, entry(change(1)), entry(change(2)))).toEqual([applied, { tag: 'staleVersion', winner: 1 }]);
    expect([b.version, b.configuration.deployment.nExtra]).toEqual([1, 1]);
    expect(fold(b, entry(change(3)))).toEqual([{ tag: 'staleVersion', winner: 1 }]);
  });

  test('an entry folded twice has the outcome it had', () => {
    const b = bootstrapped();
    const e = entry({ tag: 'evacuation', zone: 'z', begun: true });
    expect(fold(b, e)).toEqual([applied]);
    fold(b, entry({ tag: 'evacuation', zone: 'z', begun: false }));
    expect(fold(b, e)).toEqual([applied]);
    expect(b.evacuated).toEqual({});
  });

  test('an entry with an older fence folds to nothing', () => {
    const b = bootstrapped();
    fold(b, entry({ tag: 'leaseTaken', duty: 'scaler', holder: 'a#1' }));
    const old = b.slot;
    fold(b, entry({ tag: 'leaseTaken', duty: 'scaler', holder: 'b#1' }));
    const order: Command = {
      tag: 'orderIntended',
      order: 'o',
      model: 'm',
      zone: 'z',
      kind: 'spot',
      accelerator: 'any',
    };
    expect(fold(b, entry(order, { fence: old }))).toEqual([{ tag: 'staleFence', fence: b.slot - 1 }]);
    expect(b.orders).toEqual({});
    expect(fold(b, entry(order, { fence: b.leases['scaler']?.fence ?? -1 }))).toEqual([applied]);
  });

  test('an order goes its way once, and tells who did what and why', () => {
    const b = bootstrapped();
    fold(b, entry({ tag: 'orderIntended', order: 'o', model: 'm', zone: 'z', kind: 'spot', accelerator: 'any' }));
    expect(fold(b, entry({ tag: 'orderReady', order: 'o' }))).toEqual([{ tag: 'unfit', why: 'order' }]);
    fold(b, entry({ tag: 'orderPlaced', order: 'o', machine: 'm1' }, { author: 'h2', cause: 'taken' }));
    fold(b, entry({ tag: 'orderLost', order: 'o', preempted: true }));
    expect(b.orders).toEqual({});
    expect(b.closed[0]).toMatchObject({ id: 'o', status: 'lost', machine: 'm1' });
    expect(b.closed[0]?.events.map((e) => [e.status, e.author, e.cause])).toEqual([
      ['intended', 'h1', 'why'],
      ['placed', 'h2', 'taken'],
      ['lost', 'h1', 'why'],
    ]);
    expect(fold(b, entry({ tag: 'orderPlaced', order: 'o', machine: 'm2' }))).toEqual([{ tag: 'unfit', why: 'order' }]);
    expect([b.orders, b.departed]).toEqual([{}, ['m1']]);
  });

  test('the state names the orders that its newest slot closed, and the newest 256 machines that departed', () => {
    const b = bootstrapped();
    for (let n = 0; n < 300; n += 1) {
      fold(b, entry({ tag: 'orderIntended', order: `o${n}`, model: 'm', zone: 'z', kind: 'spot', accelerator: 'any' }));
      fold(b, entry({ tag: 'orderPlaced', order: `o${n}`, machine: `m${n}` }));
      fold(b, entry({ tag: 'orderLost', order: `o${n}`, preempted: true }));
      expect(b.closed.map((o) => o.id)).toEqual([`o${n}`]);
    }
    fold(b);
    expect(b.closed).toEqual([]);
    expect([b.departed.length, b.departed[0], b.departed[255]]).toEqual([256, 'm44', 'm299']);
    expect(JSON.stringify({ ...b, operations: [] }).length).toBeLessThan(5_000);
  });

  test('a member is replaced only as it stands now', () => {
    const b = bootstrapped();
    const member = { name: 'b', incarnation: '2', address: 'b:9' };
    expect(fold(b, entry({ tag: 'memberReplaced', old: 'b#1', member }))).toEqual([applied]);
    expect(fold(b, entry({ tag: 'memberReplaced', old: 'b#1', member }))).toEqual([{ tag: 'unfit', why: 'member' }]);
    expect(b.members.map((m) => m.address)).toEqual(['a:1', 'b:9', 'c:1']);
  });

  test('members are added once each, nine at most, and removed only from a group of even size', () => {
    const b = bootstrapped();
    const member = (name: string) => ({ name, incarnation: '1', address: `${name}:1` });
    const unfit = { tag: 'unfit', why: 'member' };
    expect(fold(b, entry({ tag: 'memberRemoved', old: 'c#1' }))).toEqual([unfit]);
    expect(
      fold(b, entry({ tag: 'memberAdded', member: member('d') }), entry({ tag: 'memberAdded', member: member('d') })),
    ).toEqual([applied, unfit]);
    expect(fold(b, entry({ tag: 'memberAdded', member: { ...member('e'), address: 'a:1' } }))).toEqual([unfit]);
    expect(fold(b, entry({ tag: 'memberReplaced', old: 'a#1', member: member('d') }))).toEqual([unfit]);
    expect(fold(b, entry({ tag: 'memberRemoved', old: 'a#1' }), entry({ tag: 'memberRemoved', old: 'b#1' }))).toEqual([
      applied,
      unfit,
    ]);
    expect(b.members.map((m) => m.name)).toEqual(['b', 'c', 'd']);
    for (const name of ['e', 'f', 'g', 'h', 'i', 'j'])
      expect(fold(b, entry({ tag: 'memberAdded', member: member(name) }))).toEqual([applied]);
    expect(fold(b, entry({ tag: 'memberAdded', member: member('k') }))).toEqual([unfit]);
  });

  test('a control state told or kept is looked at before it is taken', () => {
    expect(isControlState(JSON.parse(JSON.stringify(bootstrapped())))).toBe(true);
    for (const u of [null, 7, [], {}, { ...bootstrapped(), orders: [] }, { ...bootstrapped(), slot: 'x' }])
      expect(isControlState(u)).toBe(false);
  });
});
