import { expect, test } from '@jest/globals';
import type { Message, MessageKind } from '../../protocol/messages.js';
import { emptyControlState } from '../../state/consensus/control-state.js';
import { chunkAt, snapshotOf } from '../../state/consensus/snapshot-chunks.js';
import type { Snapshot } from '../../state/consensus/snapshot-chunks.js';
import { createWorld } from '../../sim/world.js';
import { createQuietLog } from '../../transport/log.js';
import type { Peer, Peers } from '../messaging/peers.js';
import { createFollower } from './follower.js';

const CONTROLLER = '10.0.0.1:1';

async function createFixture() {
  const world = createWorld(3);
  const host = world.host('edge', 'z1');
  const clock = world.clockOf(world.startProcess(host));
  const handlers = new Map<MessageKind, (m: never, peer: Peer) => unknown>();
  const sentMessages: Message[] = [];
  let offered: Snapshot | null = null;
  const peer: Peer = {
    send: (m) => {
      sentMessages.push(m);
    },
    onClosed: () => undefined,
    close: () => undefined,
  };
  const peers: Peers = {
    open: () => Promise.resolve({ ok: true, value: { address: '', close: () => Promise.resolve() } }),
    on: (kind, handler) => {
      handlers.set(kind, handler);
    },
    call: (to, m) =>
      Promise.resolve(
        m.kind === 'snapshotAsk' && offered?.offer.digest === m.digest
          ? {
              ok: true,
              value: { kind: 'snapshotPart', digest: m.digest, part: m.part, text: chunkAt(offered, m.part) ?? '' },
            }
          : { ok: false, error: { tag: 'peerSilent', address: to } },
      ),
    send: () => Promise.resolve(true),
    connect: () => Promise.resolve({ ok: true, value: peer }),
    relocate: () => undefined,
    close: () => Promise.resolve(),
  };
  const follower = await createFollower(
    { name: 's1', zone: 'z1', region: 'r1' },
    [CONTROLLER],
    peers,
    clock,
    null,
    createQuietLog().component('follow'),
  );
  await world.advance(5);
  function deliver(m: Message): void {
    handlers.get(m.kind)?.(m as never, peer);
  }
  async function deliverSnapshot(slot: number, zones: readonly string[]): Promise<void> {
    const evacuated = Object.fromEntries(zones.map((z) => [z, slot]));
    offered = snapshotOf(slot, JSON.stringify({ ...emptyControlState(), slot, ledger: 'l1', evacuated }));
    deliver({ kind: 'changes', ledger: 'l1', snapshot: offered.offer, batches: [] });
    await world.advance(1);
  }
  function heartbeat(top: number, echo: number): void {
    deliver({
      kind: 'beat',
      from: 'h1',
      ledger: 'l1',
      slot: follower.controlState().slot,
      top,
      quorate: true,
      wall: clock.wall(),
      echo,
    });
  }
  function newestNonce(): number {
    return Math.max(...sentMessages.map((m) => ('nonce' in m ? m.nonce : 0)));
  }
  return { world, host, follower, deliverSnapshot, beat: heartbeat, newestNonce };
}

test('the state of an older slot never replaces that of a newer one', async () => {
  const { follower, deliverSnapshot } = await createFixture();
  await deliverSnapshot(7, ['z9']);
  await deliverSnapshot(3, []);
  expect(follower.controlState()).toMatchObject({ slot: 7, evacuated: { z9: 7 } });
});

test('an attestation counts only once everything that it attests has been applied', async () => {
  const { follower, deliverSnapshot, beat: heartbeat, newestNonce } = await createFixture();
  await deliverSnapshot(3, []);
  heartbeat(5, newestNonce());
  expect(follower.fresh()).toBe(false);
  await deliverSnapshot(5, ['z9']);
  heartbeat(5, newestNonce());
  expect(follower.fresh()).toBe(true);
});

test('after a process pause an attestation requested before it does not make the follower fresh', async () => {
  const { world, host, follower, deliverSnapshot, beat: heartbeat, newestNonce } = await createFixture();
  await deliverSnapshot(3, []);
  const before = newestNonce();
  heartbeat(3, before);
  expect(follower.fresh()).toBe(true);
  world.freeze(host);
  await world.advance(2_000);
  world.thaw(host);
  await world.advance(1);
  heartbeat(3, before);
  expect(follower.fresh()).toBe(false);
  await world.advance(200);
  heartbeat(3, newestNonce());
  expect(follower.fresh()).toBe(true);
});
