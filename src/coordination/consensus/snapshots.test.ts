import { describe, expect, test } from '@jest/globals';
import type { Message, MessageKind, MessageOf } from '../../protocol/messages.js';
import { emptyControlState } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import { chunkCount, CHUNK_LENGTH } from '../../state/consensus/snapshot-chunks.js';
import type { SnapshotOffer } from '../../state/consensus/snapshot-chunks.js';
import { createWorld } from '../../sim/world.js';
import { delay } from '../../transport/clock.js';
import { createQuietLog } from '../../transport/log.js';
import { createSnapshotSender } from '../consensus/snapshot-sender.js';
import type { SnapshotView } from '../consensus/snapshot-sender.js';
import { createSnapshotReceiver } from '../consensus/snapshot-receiver.js';
import type { SnapshotReceipt } from '../consensus/snapshot-receiver.js';

const log = createQuietLog().component('snapshots');

function stateAt(slot: number, note = 'x', length = 5 * CHUNK_LENGTH): ControlState {
  return {
    ...emptyControlState(),
    slot,
    ledger: 'l1',
    configuration: { ...emptyControlState().configuration, deployment: { note: note.repeat(length) } },
  } as ControlState;
}

type Ask = (m: MessageOf<'snapshotAsk'>) => Message | Promise<Message>;

/** One taker and the givers it can reach; each reply takes 10 ms, and the test may come between. */
function rig() {
  const world = createWorld(1);
  const clock = world.clockOf(world.begin(world.host('n', 'z')));
  const givers = new Map<string, Ask>();
  const requests: string[] = [];
  const hooks: { before: (to: string, m: MessageOf<'snapshotAsk'>) => void } = { before: () => undefined };

  function giver(address: string, first: ControlState) {
    let state = first;
    let kept = 0;
    const on = (kind: MessageKind, handler: unknown) => {
      if (kind === 'snapshotAsk') givers.set(address, handler as Ask);
    };
    const made = createSnapshotSender({
      peers: { on: on },
      clock,
      log,
      controlState: () => state,
      keepsFrom: (slot) => slot >= kept,
    });
    return {
      offer: (view: SnapshotView, slot: number) => made.offer(view, slot),
      become: (next: ControlState) => (state = next),
      keepFrom: (slot: number) => (kept = slot),
    };
  }
  const receiver = createSnapshotReceiver(
    {
      call: async (to, m) => {
        hooks.before(to, m as MessageOf<'snapshotAsk'>);
        await delay(clock, 10);
        const ask = givers.get(to);
        requests.push(`${to} ${(m as MessageOf<'snapshotAsk'>).part}`);
        return ask
          ? { ok: true, value: await ask(m as MessageOf<'snapshotAsk'>) }
          : { ok: false, error: { tag: 'peerSilent', address: to } };
      },
    },
    clock,
    log,
  );
  async function take(from: string, offer: SnapshotOffer | null): Promise<SnapshotReceipt> {
    let ended: SnapshotReceipt | null = null;
    void receiver.receive(from, offer as SnapshotOffer).then((t) => (ended = t));
    await world.until(60_000, () => ended !== null);
    return ended as unknown as SnapshotReceipt;
  }
  return { world, giver, givers, taker: receiver, take, asks: requests, hooks };
}

describe('a snapshot is fetched in parts', () => {
  test('whole, and as it was when it was offered, though its giver folds on meanwhile', async () => {
    const { giver, take, hooks } = rig();
    const a = giver('a', stateAt(7));
    hooks.before = () => void a.become(stateAt(99, 'y'));
    const offer = a.offer('controller', 0);
    expect(chunkCount(offer as SnapshotOffer)).toBeGreaterThan(4);
    expect(await take('a', offer)).toEqual({ tag: 'whole', state: stateAt(7) });
  });

  test('a giver that is lost: the fetch goes on with another that offers the same', async () => {
    const { giver, givers, take, asks: requests, hooks } = rig();
    const a = giver('a', stateAt(7));
    const b = giver('b', stateAt(7));
    hooks.before = (to, m) => void (to === 'a' && m.part === 3 && givers.delete('a'));
    expect(await take('a', a.offer('controller', 0))).toEqual({ tag: 'interrupted' });
    expect(await take('b', b.offer('controller', 0))).toEqual({ tag: 'whole', state: stateAt(7) });
    expect(requests).toEqual(['a 0', 'a 1', 'a 2', 'a 3', 'b 3', 'b 4', 'b 5']);
  });

  test('a giver that is lost: with another that has come further the fetch begins anew, and never mixes', async () => {
    const { giver, givers, take, asks: requests, hooks } = rig();
    const a = giver('a', stateAt(7));
    const b = giver('b', stateAt(8, 'y'));
    hooks.before = (to, m) => void (to === 'a' && m.part === 3 && givers.delete('a'));
    expect(await take('a', a.offer('controller', 0))).toEqual({ tag: 'interrupted' });
    expect(await take('b', b.offer('controller', 0))).toEqual({ tag: 'whole', state: stateAt(8, 'y') });
    expect(requests.slice(4)).toEqual(['b 0', 'b 1', 'b 2', 'b 3', 'b 4', 'b 5']);
  });

  test('one that restarted knows the digest no more; it says so, and offers what it has', async () => {
    const { giver, take, hooks } = rig();
    const a = giver('a', stateAt(7));
    const offer = a.offer('controller', 0);
    let restarted: ReturnType<typeof giver> | null = null;
    hooks.before = (_, m) => {
      if (m.part === 2) restarted ??= giver('a', stateAt(9, 'z'));
    };
    expect(await take('a', offer)).toEqual({ tag: 'refused' });
    expect(await take('a', (restarted as unknown as typeof a).offer('controller', 0))).toEqual({
      tag: 'whole',
      state: stateAt(9, 'z'),
    });
  });

  const LIES: Readonly<Record<string, (answer: Message) => Message>> = {
    'another letter': (m) => (m.kind === 'snapshotPart' && m.part === 1 ? { ...m, text: `!${m.text.slice(1)}` } : m),
    'a part too short': (m) => (m.kind === 'snapshotPart' && m.part === 1 ? { ...m, text: m.text.slice(1) } : m),
    'a part of another index': (m) => (m.kind === 'snapshotPart' && m.part === 1 ? { ...m, part: 2 } : m),
    'a part of another snapshot': (m) =>
      m.kind === 'snapshotPart' && m.part === 1 ? { ...m, digest: 'e'.repeat(64) } : m,
  };
  test.each(Object.keys(LIES))('what is not as offered is never adopted: %s', async (lie) => {
    const { giver, givers, take } = rig();
    const a = giver('a', stateAt(7));
    const honest = givers.get('a') as Ask;
    givers.set('a', (m) => (LIES[lie] as (m: Message) => Message)(honest(m) as Message));
    expect(await take('a', a.offer('controller', 0))).toEqual({ tag: 'refused' });
    givers.set('a', honest);
    expect(await take('a', a.offer('controller', 0))).toEqual({ tag: 'whole', state: stateAt(7) });
  });

  test('a whole text that is no state, or one of another slot than offered, is not taken', async () => {
    const { giver, take } = rig();
    expect(await take('a', giver('a', { slot: 7, ledger: 'l1' } as ControlState).offer('controller', 0))).toEqual({
      tag: 'refused',
    });
  });

  test('two fetches do not run side by side, but one whose giver stalls is taken over', async () => {
    const { giver, givers, take, taker: receiver, world, asks: requests } = rig();
    const a = giver('a', stateAt(7));
    const b = giver('b', stateAt(7));
    const [first, second] = [
      receiver.receive('a', a.offer('controller', 0) as SnapshotOffer),
      take('b', b.offer('controller', 0)),
    ];
    expect(await second).toEqual({ tag: 'joined' });
    expect(await first).toEqual({ tag: 'whole', state: stateAt(7) });
    expect(requests.every((ask) => ask.startsWith('a'))).toBe(true);

    const honest = givers.get('a') as Ask;
    const slow: Promise<Message>[] = [];
    givers.set('a', (m) => {
      if (m.part < 2) return honest(m);
      const late = delay(world.clockOf(world.begin(world.host('late', 'z'))), 5_000).then(() => honest(m));
      slow.push(late);
      return late;
    });
    const stalled = receiver.receive('a', a.offer('controller', 0) as SnapshotOffer);
    await world.advance(1_000);
    expect(await take('b', b.offer('controller', 0))).toEqual({ tag: 'whole', state: stateAt(7) });
    await world.advance(10_000);
    expect(await stalled).toEqual({ tag: 'joined' });
    expect(slow.length).toBe(1);
  });
});

describe('what a giver pins is bounded', () => {
  test('nodes that lag together are offered the same, as long as the slots since are kept', () => {
    const { giver } = rig();
    const a = giver('a', stateAt(7));
    const first = a.offer('controller', 0);
    a.become(stateAt(20, 'y'));
    expect(a.offer('controller', 3)).toEqual(first);
    expect(a.offer('controller', 8)?.slot).toBe(20);
    a.keepFrom(15);
    expect(a.offer('controller', 0)?.slot).toBe(20);
    expect(a.offer('controller', 21)).toBeNull();
  });

  test('two of each view at most; the older is gone, and said to be', () => {
    const { giver, givers } = rig();
    const a = giver('a', stateAt(1));
    const offers: SnapshotOffer[] = [];
    for (let slot = 1; slot <= 4; slot += 1) {
      a.become(stateAt(slot, String(slot)));
      a.keepFrom(slot + 1);
      offers.push(a.offer('controller', 0) as SnapshotOffer, a.offer('proxy', 0) as SnapshotOffer);
    }
    const kinds = offers.map(
      (o) => (givers.get('a')?.({ kind: 'snapshotAsk', digest: o.digest, part: 0 }) as Message).kind,
    );
    const gone = 'snapshotGone';
    const there = 'snapshotPart';
    expect(kinds).toEqual([gone, gone, gone, gone, there, there, there, there]);
  });

  test('one that nobody asked for in 10 s is let go of', async () => {
    const { world, giver, givers } = rig();
    const a = giver('a', stateAt(1));
    const old = a.offer('controller', 0) as SnapshotOffer;
    await world.advance(10_100);
    a.become(stateAt(2, 'y'));
    expect(a.offer('controller', 0)?.slot).toBe(2);
    expect(givers.get('a')?.({ kind: 'snapshotAsk', digest: old.digest, part: 0 })).toEqual({
      kind: 'snapshotGone',
      digest: old.digest,
    });
  });
});
