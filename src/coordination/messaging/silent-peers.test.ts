import { describe, expect, test } from '@jest/globals';
import type { Message } from '../../protocol/messages.js';
import { createSimNet } from '../../sim/sim-wire.js';
import { createWorld } from '../../sim/world.js';
import type { Host, World } from '../../sim/world.js';
import { delay } from '../../transport/clock.js';
import { createQuietLog } from '../../transport/log.js';
import { createPeers } from '../messaging/peers.js';
import type { Peer, Peers } from '../messaging/peers.js';

type Room = {
  readonly world: World;
  readonly near: Host;
  readonly far: Host;
  readonly a: Peers;
  readonly b: Peers;
  readonly seen: Peer[];
};
const ASK: Message = { kind: 'memberStatusAsk' };
const DONE: Message = { kind: 'done', agreed: true };

async function finish<T>(world: World, work: Promise<T>, limitMs = 60_000): Promise<T | null> {
  const box: { value: T | null; done: boolean } = { value: null, done: false };
  void work.then((v) => ((box.value = v), (box.done = true)));
  await world.until(limitMs, () => box.done);
  return box.value;
}
async function room(answerMs = 0): Promise<Room> {
  const world = createWorld(1);
  const net = createSimNet(world);
  world.setDelay('near', 'far', 35);
  const near = world.host('a', 'near');
  const far = world.host('b', 'far');
  const ends: Peers[] = [];
  const seen: Peer[] = [];
  for (const host of [near, far]) {
    const proc = world.begin(host);
    const clock = world.clockOf(proc);
    const peers = createPeers(net.wireOf(proc), clock, createQuietLog().component(''));
    peers.on('memberStatusAsk', async (_m, peer) => {
      seen.push(peer);
      if (answerMs > 0) await delay(clock, answerMs);
      return DONE;
    });
    await finish(world, peers.open(`${host.name}:1`));
    ends.push(peers);
  }
  return { world, near, far, a: ends[0] as Peers, b: ends[1] as Peers, seen };
}
async function heldLink(r: Room): Promise<{ closedAt: number }> {
  const told = { closedAt: 0 };
  const response = await finish(r.world, r.a.connect('b:1'));
  if (!response?.ok) throw new Error('not held');
  response.value.onClosed(() => (told.closedAt = r.world.now()));
  return told;
}

describe('a peer that says nothing more', () => {
  test('a connection that owes an answer for 1.2 s is closed, and the next call dials anew', async () => {
    const r = await room();
    const link = await heldLink(r);
    expect(await finish(r.world, r.a.call('b:1', ASK, 500))).toEqual({ ok: true, value: DONE });
    r.far.powered = false;
    r.world.kill(r.far);
    const from = r.world.now();
    expect((await finish(r.world, r.a.call('b:1', ASK, 500)))?.ok).toBe(false);
    await r.world.advance(1_000);
    expect(link.closedAt - from).toBeGreaterThanOrEqual(1_200);
    expect(link.closedAt - from).toBeLessThan(1_300);
  });

  test('one that was itself frozen does not blame its peer', async () => {
    const r = await room();
    const link = await heldLink(r);
    void r.a.call('b:1', ASK, 500);
    r.world.freeze(r.near);
    r.world.cut('b', 'a');
    await r.world.advance(5_000);
    r.world.thaw(r.near);
    r.world.heal('b', 'a');
    await r.world.advance(300);
    expect(link.closedAt).toBe(0);
    expect(await finish(r.world, r.a.call('b:1', ASK, 500))).toEqual({ ok: true, value: DONE });
  });

  test('a call that is given time is not cut short by it', async () => {
    const r = await room(3_000);
    expect(await finish(r.world, r.a.call('b:1', ASK, 5_000))).toEqual({ ok: true, value: DONE });
  });

  test('a connection that nobody uses is closed at both ends in time; a held one stays', async () => {
    const idle = await room();
    await finish(idle.world, idle.a.call('b:1', ASK, 500));
    let inboundClosed = false;
    idle.seen[0]?.onClosed(() => (inboundClosed = true));
    await idle.world.advance(19_000);
    expect(inboundClosed).toBe(false);
    await idle.world.advance(3_000);
    expect(inboundClosed).toBe(true);
    expect(await finish(idle.world, idle.a.call('b:1', ASK, 500))).toEqual({ ok: true, value: DONE });

    const kept = await room();
    const link = await heldLink(kept);
    await kept.world.advance(30_000);
    expect(link.closedAt).toBe(0);
  });

  test('an inbound connection whose peer vanished without a word is let go', async () => {
    const r = await room();
    await finish(r.world, r.a.call('b:1', ASK, 500));
    let closed = false;
    r.seen[0]?.onClosed(() => (closed = true));
    r.near.powered = false;
    r.world.kill(r.near);
    await r.world.advance(50_000);
    expect(closed).toBe(true);
  });
});
