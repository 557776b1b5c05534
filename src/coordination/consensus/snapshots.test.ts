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

type RequestHandler = (m: MessageOf<'snapshotAsk'>) => Message | Promise<Message>;

/**
 * One receiver and the senders it can reach. Each response takes 10 ms; `hooks` lets a test intervene before a
 * request.
 */
function createTransfer() {
  const world = createWorld(1);
  const clock = world.clockOf(world.startProcess(world.host('n', 'z')));
  const senders = new Map<string, RequestHandler>();
  const requests: string[] = [];
  const hooks: { beforeRequest: (to: string, m: MessageOf<'snapshotAsk'>) => void } = {
    beforeRequest: () => undefined,
  };

  function createSender(address: string, first: ControlState) {
    let state = first;
    let keptFrom = 0;
    const on = (kind: MessageKind, handler: unknown) => {
      if (kind === 'snapshotAsk') senders.set(address, handler as RequestHandler);
    };
    const sender = createSnapshotSender({
      peers: { on },
      clock,
      log,
      controlState: () => state,
      hasSlotsFrom: (slot) => slot >= keptFrom,
    });
    return {
      offer: (view: SnapshotView, slot: number) => sender.offer(view, slot),
      setState: (next: ControlState) => (state = next),
      setKeptFrom: (slot: number) => (keptFrom = slot),
    };
  }
  const receiver = createSnapshotReceiver(
    {
      call: async (to, m) => {
        hooks.beforeRequest(to, m as MessageOf<'snapshotAsk'>);
        await delay(clock, 10);
        const handler = senders.get(to);
        requests.push(`${to} ${(m as MessageOf<'snapshotAsk'>).part}`);
        return handler
          ? { ok: true, value: await handler(m as MessageOf<'snapshotAsk'>) }
          : { ok: false, error: { tag: 'peerSilent', address: to } };
      },
    },
    clock,
    log,
  );
  async function receive(from: string, offer: SnapshotOffer | null): Promise<SnapshotReceipt> {
    let receipt: SnapshotReceipt | null = null;
    void receiver.receive(from, offer as SnapshotOffer).then((t) => (receipt = t));
    await world.until(60_000, () => receipt !== null);
    return receipt as unknown as SnapshotReceipt;
  }
  return { world, createSender, senders, snapshotReceiver: receiver, receive, requestLog: requests, hooks };
}

describe('a snapshot is fetched in chunks', () => {
  test('completely, and as of the offer, although the sender applies further slots meanwhile', async () => {
    const { createSender, receive, hooks } = createTransfer();
    const a = createSender('a', stateAt(7));
    hooks.beforeRequest = () => void a.setState(stateAt(99, 'y'));
    const offer = a.offer('controller', 0);
    expect(chunkCount(offer as SnapshotOffer)).toBeGreaterThan(4);
    expect(await receive('a', offer)).toEqual({ tag: 'whole', state: stateAt(7) });
  });

  test('after the sender is lost the fetch resumes with another one that offers the same snapshot', async () => {
    const { createSender, senders, receive, requestLog: requests, hooks } = createTransfer();
    const a = createSender('a', stateAt(7));
    const b = createSender('b', stateAt(7));
    hooks.beforeRequest = (to, m) => void (to === 'a' && m.part === 3 && senders.delete('a'));
    expect(await receive('a', a.offer('controller', 0))).toEqual({ tag: 'interrupted' });
    expect(await receive('b', b.offer('controller', 0))).toEqual({ tag: 'whole', state: stateAt(7) });
    expect(requests).toEqual(['a 0', 'a 1', 'a 2', 'a 3', 'b 3', 'b 4', 'b 5']);
  });

  test('after the sender is lost the fetch restarts with another one that is further ahead, and never mixes the two', async () => {
    const { createSender, senders, receive, requestLog: requests, hooks } = createTransfer();
    const a = createSender('a', stateAt(7));
    const b = createSender('b', stateAt(8, 'y'));
    hooks.beforeRequest = (to, m) => void (to === 'a' && m.part === 3 && senders.delete('a'));
    expect(await receive('a', a.offer('controller', 0))).toEqual({ tag: 'interrupted' });
    expect(await receive('b', b.offer('controller', 0))).toEqual({ tag: 'whole', state: stateAt(8, 'y') });
    expect(requests.slice(4)).toEqual(['b 0', 'b 1', 'b 2', 'b 3', 'b 4', 'b 5']);
  });

  test('a restarted sender no longer knows the digest; it says so, and offers its current state', async () => {
    const { createSender, receive, hooks } = createTransfer();
    const a = createSender('a', stateAt(7));
    const offer = a.offer('controller', 0);
    let restarted: ReturnType<typeof createSender> | null = null;
    hooks.beforeRequest = (_, m) => {
      if (m.part === 2) restarted ??= createSender('a', stateAt(9, 'z'));
    };
    expect(await receive('a', offer)).toEqual({ tag: 'refused' });
    expect(await receive('a', (restarted as unknown as typeof a).offer('controller', 0))).toEqual({
      tag: 'whole',
      state: stateAt(9, 'z'),
    });
  });

  const CORRUPTIONS: Readonly<Record<string, (answer: Message) => Message>> = {
    'altered text': (m) => (m.kind === 'snapshotPart' && m.part === 1 ? { ...m, text: `!${m.text.slice(1)}` } : m),
    'a chunk too short': (m) => (m.kind === 'snapshotPart' && m.part === 1 ? { ...m, text: m.text.slice(1) } : m),
    'a chunk with another index': (m) => (m.kind === 'snapshotPart' && m.part === 1 ? { ...m, part: 2 } : m),
    'a chunk of another snapshot': (m) =>
      m.kind === 'snapshotPart' && m.part === 1 ? { ...m, digest: 'e'.repeat(64) } : m,
  };
  test.each(Object.keys(CORRUPTIONS))('data that does not match the offer is never adopted: %s', async (corruption) => {
    const { createSender, senders, receive } = createTransfer();
    const a = createSender('a', stateAt(7));
    const originalHandler = senders.get('a') as RequestHandler;
    senders.set('a', (m) => (CORRUPTIONS[corruption] as (m: Message) => Message)(originalHandler(m) as Message));
    expect(await receive('a', a.offer('controller', 0))).toEqual({ tag: 'refused' });
    senders.set('a', originalHandler);
    expect(await receive('a', a.offer('controller', 0))).toEqual({ tag: 'whole', state: stateAt(7) });
  });

  test('a complete text that is not a valid state, or is of another slot than offered, is rejected', async () => {
    const { createSender, receive } = createTransfer();
    expect(
      await receive('a', createSender('a', { slot: 7, ledger: 'l1' } as ControlState).offer('controller', 0)),
    ).toEqual({
      tag: 'refused',
    });
  });

  test('two fetches do not run in parallel, but one whose sender stalls is taken over', async () => {
    const {
      createSender,
      senders,
      receive,
      snapshotReceiver: receiver,
      world,
      requestLog: requests,
    } = createTransfer();
    const a = createSender('a', stateAt(7));
    const b = createSender('b', stateAt(7));
    const [first, second] = [
      receiver.receive('a', a.offer('controller', 0) as SnapshotOffer),
      receive('b', b.offer('controller', 0)),
    ];
    expect(await second).toEqual({ tag: 'joined' });
    expect(await first).toEqual({ tag: 'whole', state: stateAt(7) });
    expect(requests.every((request) => request.startsWith('a'))).toBe(true);

    const originalHandler = senders.get('a') as RequestHandler;
    const delayedResponses: Promise<Message>[] = [];
    senders.set('a', (m) => {
      if (m.part < 2) return originalHandler(m);
      const delayed = delay(world.clockOf(world.startProcess(world.host('late', 'z'))), 5_000).then(() =>
        originalHandler(m),
      );
      delayedResponses.push(delayed);
      return delayed;
    });
    const stalled = receiver.receive('a', a.offer('controller', 0) as SnapshotOffer);
    await world.advance(1_000);
    expect(await receive('b', b.offer('controller', 0))).toEqual({ tag: 'whole', state: stateAt(7) });
    await world.advance(10_000);
    expect(await stalled).toEqual({ tag: 'joined' });
    expect(delayedResponses.length).toBe(1);
  });
});

describe('the snapshots that a sender pins are bounded', () => {
  test('nodes that lag at the same time are offered the same one, as long as the slots after it are kept', () => {
    const { createSender } = createTransfer();
    const a = createSender('a', stateAt(7));
    const first = a.offer('controller', 0);
    a.setState(stateAt(20, 'y'));
    expect(a.offer('controller', 3)).toEqual(first);
    expect(a.offer('controller', 8)?.slot).toBe(20);
    a.setKeptFrom(15);
    expect(a.offer('controller', 0)?.slot).toBe(20);
    expect(a.offer('controller', 21)).toBeNull();
  });

  test('at most two per view; an older one is dropped, and requests for it are told so', () => {
    const { createSender, senders } = createTransfer();
    const a = createSender('a', stateAt(1));
    const offers: SnapshotOffer[] = [];
    for (let slot = 1; slot <= 4; slot += 1) {
      a.setState(stateAt(slot, String(slot)));
      a.setKeptFrom(slot + 1);
      offers.push(a.offer('controller', 0) as SnapshotOffer, a.offer('proxy', 0) as SnapshotOffer);
    }
    const kinds = offers.map(
      (o) => (senders.get('a')?.({ kind: 'snapshotAsk', digest: o.digest, part: 0 }) as Message).kind,
    );
    const gone = 'snapshotGone';
    const available = 'snapshotPart';
    expect(kinds).toEqual([gone, gone, gone, gone, available, available, available, available]);
  });

  test('one that was not requested for 10 s is dropped', async () => {
    const { world, createSender, senders } = createTransfer();
    const a = createSender('a', stateAt(1));
    const old = a.offer('controller', 0) as SnapshotOffer;
    await world.advance(10_100);
    a.setState(stateAt(2, 'y'));
    expect(a.offer('controller', 0)?.slot).toBe(2);
    expect(senders.get('a')?.({ kind: 'snapshotAsk', digest: old.digest, part: 0 })).toEqual({
      kind: 'snapshotGone',
      digest: old.digest,
    });
  });
});
