import { describe, expect, test } from '@jest/globals';
import { emptyControlState, foldBatch, isControlState } from './control-state.js';
import type { ControlState, Outcome } from './control-state.js';
import type { Command, Entry } from './entry.js';

let idCount = 0;
function entry(command: Command, overrides: Partial<Entry> = {}): Entry {
  return { id: `e${(idCount += 1)}`, author: 'h1', wall: 7, cause: 'why', act: command, ...overrides };
}
function fold(state: ControlState, ...entries: Entry[]): Outcome[] {
  return foldBatch(state, state.slot + 1, { id: `b${(idCount += 1)}`, entries });
}
function bootstrapped(): ControlState {
  const state = emptyControlState();
  const members = ['a', 'b', 'c'].map((name) => ({ name, incarnation: '1', address: `${name}:1` }));
  fold(state, entry({ tag: 'bootstrapped', ledger: 'l', ticketKey: 'k', members }));
  return state;
}
const applied = { tag: 'applied' };

describe('applying entries of the replicated log', () => {
  test('of two changes on the same base the first is applied, even within one slot', () => {
    const state = bootstrapped();
    const change = (value: number): Command => ({
      tag: 'configured',
      base: 0,
      changes: [{ path: ['deployment', 'nExtra'], value }],
    });
    expect(fold(state, entry(change(1)), entry(change(2)))).toEqual([applied, { tag: 'staleVersion', winner: 1 }]);
    expect([state.version, state.configuration.deployment.nExtra]).toEqual([1, 1]);
    expect(fold(state, entry(change(3)))).toEqual([{ tag: 'staleVersion', winner: 1 }]);
  });

  // Guards against a leaving member that gives its place to a machine that can't come back there.
  test('a member removed while silent is away until its name or its address is a member again', () => {
    const removed = (): ControlState => {
      const state = bootstrapped();
      fold(state, entry({ tag: 'memberAdded', member: { name: 'd', incarnation: '1', address: 'd:1' } }));
      expect(fold(state, entry({ tag: 'memberRemoved', old: 'c#1', ifMoreThan: 3, mayReturn: true }))).toEqual([
        applied,
      ]);
      expect(state.away).toEqual([{ member: { name: 'c', incarnation: '1', address: 'c:1' }, removedAt: 7 }]);
      return state;
    };
    for (const member of [
      { name: 'c', incarnation: '2', address: 'e:1' },
      { name: 'e', incarnation: '1', address: 'c:1' },
    ]) {
      const state = removed();
      expect(fold(state, entry({ tag: 'memberAdded', member }))).toEqual([applied]);
      expect(state.away).toBeUndefined();
    }
    const restored = removed();
    const [away] = restored.away ?? [];
    expect(fold(restored, entry({ tag: 'memberReplaced', old: 'b#1', member: away!.member }))).toEqual([applied]);
    expect([restored.away, restored.members.map(({ name }) => name)]).toEqual([undefined, ['a', 'c', 'd']]);
  });

  test('a silent member is not removed from a group that is no larger than the entry says', () => {
    const state = bootstrapped();
    fold(state, entry({ tag: 'memberAdded', member: { name: 'd', incarnation: '1', address: 'd:1' } }));
    const removal = { tag: 'memberRemoved', ifMoreThan: 3, mayReturn: true } as const;
    const outcomes = fold(state, entry({ ...removal, old: 'c#1' }), entry({ ...removal, old: 'd#1' }));
    expect(outcomes).toEqual([applied, { tag: 'unfit', why: 'member' }]);
    expect(state.members).toHaveLength(3);
  });

  // Guards against inherited properties taken for entries of a table: such a zone counted as evacuated from the start.
  test.each(['constructor', 'toString'])('a zone, proxy or order named %s is unknown until it is recorded', (name) => {
    const state = bootstrapped();
    expect(fold(state, entry({ tag: 'evacuation', zone: name, begun: false }))).not.toEqual([applied]);
    expect(fold(state, entry({ tag: 'evacuation', zone: name, begun: true }))).toEqual([applied]);
    expect(fold(state, entry({ tag: 'proxyForgotten', name }))).toEqual([{ tag: 'unfit', why: 'unchanged' }]);
    const order = { order: name, model: name, zone: name, kind: 'spot', accelerator: 'any' } as const;
    expect(fold(state, entry({ tag: 'orderIntended', ...order }))).toEqual([applied]);
    expect([Object.keys(state.evacuated), Object.keys(state.orders)]).toEqual([[name], [name]]);
  });

  test('an entry applied twice has its first outcome', () => {
    const state = bootstrapped();
    const first = entry({ tag: 'evacuation', zone: 'z', begun: true });
    expect(fold(state, first)).toEqual([applied]);
    fold(state, entry({ tag: 'evacuation', zone: 'z', begun: false }));
    expect(fold(state, first)).toEqual([applied]);
    expect(state.evacuated).toEqual({});
  });

  test('an entry with a stale fencing token changes nothing', () => {
    const state = bootstrapped();
    fold(state, entry({ tag: 'leaseTaken', duty: 'scaler', holder: 'a#1' }));
    const old = state.slot;
    fold(state, entry({ tag: 'leaseTaken', duty: 'scaler', holder: 'b#1' }));
    const order: Command = {
      tag: 'orderIntended',
      order: 'o',
      model: 'm',
      zone: 'z',
      kind: 'spot',
      accelerator: 'any',
    };
    expect(fold(state, entry(order, { fence: old }))).toEqual([{ tag: 'staleFence', fence: state.slot - 1 }]);
    expect(state.orders).toEqual({});
    expect(fold(state, entry(order, { fence: state.leases['scaler']?.fence ?? -1 }))).toEqual([applied]);
  });

  test('an order passes each status once, and records who did what and why', () => {
    const state = bootstrapped();
    fold(state, entry({ tag: 'orderIntended', order: 'o', model: 'm', zone: 'z', kind: 'spot', accelerator: 'any' }));
    expect(fold(state, entry({ tag: 'orderReady', order: 'o' }))).toEqual([{ tag: 'unfit', why: 'order' }]);
    fold(state, entry({ tag: 'orderPlaced', order: 'o', machine: 'm1' }, { author: 'h2', cause: 'taken' }));
    fold(state, entry({ tag: 'orderLost', order: 'o', preempted: true }));
    expect(state.orders).toEqual({});
    expect(state.closed[0]).toMatchObject({ id: 'o', status: 'lost', machine: 'm1' });
    expect(state.closed[0]?.events.map((e) => [e.status, e.author, e.cause])).toEqual([
      ['intended', 'h1', 'why'],
      ['placed', 'h2', 'taken'],
      ['lost', 'h1', 'why'],
    ]);
    expect(fold(state, entry({ tag: 'orderPlaced', order: 'o', machine: 'm2' }))).toEqual([
      { tag: 'unfit', why: 'order' },
    ]);
    expect([state.orders, state.departed]).toEqual([{}, ['m1']]);
  });

  test('the state lists the orders closed by its newest slot, and the newest 256 machines that departed', () => {
    const state = bootstrapped();
    for (let n = 0; n < 300; n += 1) {
      fold(
        state,
        entry({ tag: 'orderIntended', order: `o${n}`, model: 'm', zone: 'z', kind: 'spot', accelerator: 'any' }),
      );
      fold(state, entry({ tag: 'orderPlaced', order: `o${n}`, machine: `m${n}` }));
      fold(state, entry({ tag: 'orderLost', order: `o${n}`, preempted: true }));
      expect(state.closed.map((o) => o.id)).toEqual([`o${n}`]);
    }
    fold(state);
    expect(state.closed).toEqual([]);
    expect([state.departed.length, state.departed[0], state.departed[255]]).toEqual([256, 'm44', 'm299']);
    expect(JSON.stringify({ ...state, operations: [] }).length).toBeLessThan(5_000);
  });

  test('a member is replaced only under its current incarnation', () => {
    const state = bootstrapped();
    const member = { name: 'b', incarnation: '2', address: 'b:9' };
    expect(fold(state, entry({ tag: 'memberReplaced', old: 'b#1', member }))).toEqual([applied]);
    expect(fold(state, entry({ tag: 'memberReplaced', old: 'b#1', member }))).toEqual([
      { tag: 'unfit', why: 'member' },
    ]);
    expect(state.members.map((m) => m.address)).toEqual(['a:1', 'b:9', 'c:1']);
  });

  test('members are added once each, nine at most, and removed only from a group of even size', () => {
    const state = bootstrapped();
    const member = (name: string) => ({ name, incarnation: '1', address: `${name}:1` });
    const unfit = { tag: 'unfit', why: 'member' };
    expect(fold(state, entry({ tag: 'memberRemoved', old: 'c#1' }))).toEqual([unfit]);
    expect(
      fold(
        state,
        entry({ tag: 'memberAdded', member: member('d') }),
        entry({ tag: 'memberAdded', member: member('d') }),
      ),
    ).toEqual([applied, unfit]);
    expect(fold(state, entry({ tag: 'memberAdded', member: { ...member('e'), address: 'a:1' } }))).toEqual([unfit]);
    expect(fold(state, entry({ tag: 'memberReplaced', old: 'a#1', member: member('d') }))).toEqual([unfit]);
    expect(
      fold(state, entry({ tag: 'memberRemoved', old: 'a#1' }), entry({ tag: 'memberRemoved', old: 'b#1' })),
    ).toEqual([applied, unfit]);
    expect(state.members.map((m) => m.name)).toEqual(['b', 'c', 'd']);
    for (const name of ['e', 'f', 'g', 'h', 'i', 'j'])
      expect(fold(state, entry({ tag: 'memberAdded', member: member(name) }))).toEqual([applied]);
    expect(fold(state, entry({ tag: 'memberAdded', member: member('k') }))).toEqual([unfit]);
  });

  test('a state that was received or read from disk is validated', () => {
    expect(isControlState(JSON.parse(JSON.stringify(bootstrapped())))).toBe(true);
    for (const u of [null, 7, [], {}, { ...bootstrapped(), orders: [] }, { ...bootstrapped(), slot: 'x' }])
      expect(isControlState(u)).toBe(false);
  });
});
