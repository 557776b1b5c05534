import { describe, expect, test } from '@jest/globals';
import type { Message } from '../../protocol/messages.js';
import { createSimNet } from '../../sim/sim-wire.js';
import { createWorld } from '../../sim/world.js';
import type { Host, World } from '../../sim/world.js';
import { delay } from '../../transport/clock.js';
import { createQuietLog } from '../../transport/log.js';
import { createPeers } from '../messaging/peers.js';
import type { Peer, Peers } from '../messaging/peers.js';

type Fixture = {
  readonly world: World;
  readonly near: Host;
  readonly far: Host;
  readonly a: Peers;
  readonly b: Peers;
  readonly seen: Peer[];
};
const REQUEST: Message = { kind: 'memberStatusAsk' };
const RESPONSE: Message = { kind: 'done', agreed: true };

async function finish<T>(world: World, work: Promise<T>, limitMs = 60_000): Promise<T | null> {
  const settled: { value: T | null; done: boolean } = { value: null, done: false };
  void work.then((v) => ((settled.value = v), (settled.done = true)));
  await world.until(limitMs, () => settled.done);
  return settled.value;
}
async function createFixture(responseDelayMs = 0): Promise<Fixture> {
  const world = createWorld(1);
  const net = createSimNet(world);
  world.setDelay('near', 'far', 35);
  const near = world.host('a', 'near');
  const far = world.host('b', 'far');
  const peersOfHosts: Peers[] = [];
  const seen: Peer[] = [];
  for (const host of [near, far]) {
    const proc = world.startProcess(host);
    const clock = world.clockOf(proc);
    const peers = createPeers(net.wireOf(proc), clock, createQuietLog().component(''));
    peers.on('memberStatusAsk', async (_m, peer) => {
      seen.push(peer);
      if (responseDelayMs > 0) await delay(clock, responseDelayMs);
      return RESPONSE;
    });
    await finish(world, peers.open(`${host.name}:1`));
    peersOfHosts.push(peers);
  }
  return { world, near, far, a: peersOfHosts[0] as Peers, b: peersOfHosts[1] as Peers, seen };
}
async function openKeptLink(fixture: Fixture): Promise<{ closedAt: number }> {
  const closing = { closedAt: 0 };
  const response = await finish(fixture.world, fixture.a.connect('b:1'));
  if (!response?.ok) throw new Error('could not open a kept connection');
  response.value.onClosed(() => (closing.closedAt = fixture.world.now()));
  return closing;
}

describe('an unresponsive peer', () => {
  test('a connection without a byte for 1.2 s after a call is closed, and the next call dials again', async () => {
    const fixture = await createFixture();
    const link = await openKeptLink(fixture);
    expect(await finish(fixture.world, fixture.a.call('b:1', REQUEST, 500))).toEqual({ ok: true, value: RESPONSE });
    fixture.far.powered = false;
    fixture.world.kill(fixture.far);
    const from = fixture.world.now();
    expect((await finish(fixture.world, fixture.a.call('b:1', REQUEST, 500)))?.ok).toBe(false);
    await fixture.world.advance(1_000);
    expect(link.closedAt - from).toBeGreaterThanOrEqual(1_200);
    expect(link.closedAt - from).toBeLessThan(1_300);
  });

  test('a process that was paused itself does not close the connection to its peer', async () => {
    const fixture = await createFixture();
    const link = await openKeptLink(fixture);
    void fixture.a.call('b:1', REQUEST, 500);
    fixture.world.freeze(fixture.near);
    fixture.world.cut('b', 'a');
    await fixture.world.advance(5_000);
    fixture.world.thaw(fixture.near);
    fixture.world.heal('b', 'a');
    await fixture.world.advance(300);
    expect(link.closedAt).toBe(0);
    expect(await finish(fixture.world, fixture.a.call('b:1', REQUEST, 500))).toEqual({ ok: true, value: RESPONSE });
  });

  test('a call with a long timeout is not aborted by the check for unresponsive peers', async () => {
    const fixture = await createFixture(3_000);
    expect(await finish(fixture.world, fixture.a.call('b:1', REQUEST, 5_000))).toEqual({ ok: true, value: RESPONSE });
  });

  test('an idle connection is closed at both ends after its timeout; a kept one stays open', async () => {
    const idleFixture = await createFixture();
    await finish(idleFixture.world, idleFixture.a.call('b:1', REQUEST, 500));
    let inboundClosed = false;
    idleFixture.seen[0]?.onClosed(() => (inboundClosed = true));
    await idleFixture.world.advance(19_000);
    expect(inboundClosed).toBe(false);
    await idleFixture.world.advance(3_000);
    expect(inboundClosed).toBe(true);
    expect(await finish(idleFixture.world, idleFixture.a.call('b:1', REQUEST, 500))).toEqual({
      ok: true,
      value: RESPONSE,
    });

    const keptFixture = await createFixture();
    const link = await openKeptLink(keptFixture);
    await keptFixture.world.advance(30_000);
    expect(link.closedAt).toBe(0);
  });

  test('an inbound connection is closed when its peer disappears without closing it', async () => {
    const fixture = await createFixture();
    await finish(fixture.world, fixture.a.call('b:1', REQUEST, 500));
    let closed = false;
    fixture.seen[0]?.onClosed(() => (closed = true));
    fixture.near.powered = false;
    fixture.world.kill(fixture.near);
    await fixture.world.advance(50_000);
    expect(closed).toBe(true);
  });
});
