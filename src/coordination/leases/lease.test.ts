import { describe, expect, test } from '@jest/globals';
import { createSimNet } from '../../sim/sim-wire.js';
import { createWorld } from '../../sim/world.js';
import type { Host, World } from '../../sim/world.js';
import { emptyControlState, foldBatch } from '../../state/consensus/control-state.js';
import type { Command } from '../../state/consensus/entry.js';
import { createQuietLog } from '../../transport/log.js';
import { createRng } from '../../transport/rng.js';
import { createPeers } from '../messaging/peers.js';
import type { Ledger } from '../consensus/ledger.js';
import { createLease } from './lease.js';
import type { Lease } from './lease.js';

const NAMES = ['h1', 'h2', 'h3'];

type Fixture = {
  readonly world: World;
  readonly hosts: Map<string, Host>;
  readonly leases: Map<string, Lease>;
  readonly holders: () => string[];
  readonly frames: () => number;
};

async function createFixture(seed: number): Promise<Fixture> {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const controlState = emptyControlState();
  controlState.ledger = 'ledger-1';
  controlState.members = NAMES.map((name) => ({ name, incarnation: 'i1', address: `${name}:1` }));
  const hosts = new Map<string, Host>();
  const leases = new Map<string, Lease>();
  let entryCount = 0;
  function propose(draft: { readonly cause: string; readonly act: Command }): Promise<unknown> {
    const slot = controlState.slot + 1;
    const [outcome] = foldBatch(controlState, slot, {
      id: `b${slot}`,
      entries: [{ id: `e${(entryCount += 1)}`, author: '-', wall: 0, ...draft }],
    });
    return Promise.resolve({ ok: true, value: { slot, outcome } });
  }
  for (const m of controlState.members) {
    const host = world.host(m.name, m.name);
    const proc = world.startProcess(host);
    const clock = world.clockOf(proc);
    const peers = createPeers(net.wireOf(proc), clock, createQuietLog().component(''));
    void peers.open(m.address);
    const ledger = { controlState: () => controlState, isMember: () => true, self: m, propose } as unknown as Ledger;
    hosts.set(m.name, host);
    leases.set(
      m.name,
      createLease('duty', ledger, peers, clock, createRng(seed * 31 + leases.size), createQuietLog().component('')),
    );
  }
  for (const a of NAMES) for (const b of NAMES) if (a !== b) world.setDelay(a, b, 35);
  await world.advance(100);
  return {
    world,
    hosts,
    leases,
    holders: () => NAMES.filter((n) => hosts.get(n)?.running && leases.get(n)?.fence() !== null),
    frames: () => net.sent().frames,
  };
}

describe('a lease', () => {
  test.each([1, 2, 3, 4])('stays with its holder while another member is down (seed %i)', async (seed) => {
    const { world, hosts, holders, leases } = await createFixture(seed);
    expect(await world.until(15_000, () => holders().length === 1)).toBe(true);
    const holder = holders()[0] as string;
    const stoppedHost = hosts.get(NAMES.find((n) => n !== holder) as string) as Host;
    stoppedHost.powered = false;
    world.kill(stoppedHost);
    let minRemainingMs = Infinity;
    for (let ms = 0; ms < 20_000; ms += 50) {
      expect(holders()).toEqual([holder]);
      minRemainingMs = Math.min(minRemainingMs, leases.get(holder)?.remainingMs() ?? 0);
      await world.advance(50);
    }
    expect(minRemainingMs).toBeGreaterThan(3_700);
  });

  test.each([1, 2, 3, 4])(
    'moves to exactly one other member after its holder is partitioned (seed %i)',
    async (seed) => {
      const { world, holders, leases } = await createFixture(10 + seed);
      expect(await world.until(15_000, () => holders().length === 1)).toBe(true);
      const oldHolder = holders()[0] as string;
      for (const n of NAMES) {
        world.cut(oldHolder, n);
        world.cut(n, oldHolder);
      }
      for (let ms = 0; ms < 13_000; ms += 50) {
        await world.advance(50);
        expect(holders().length).toBeLessThanOrEqual(1);
      }
      expect(leases.get(oldHolder)?.fence()).toBeNull();
      expect(holders()).toHaveLength(1);
    },
  );

  test('a member whose own lease table refuses the grant sends no requests', async () => {
    const { world, holders, frames } = await createFixture(21);
    expect(await world.until(15_000, () => holders().length === 1)).toBe(true);
    await world.advance(3_000);
    const framesBefore = frames();
    await world.advance(10_000);
    expect((frames() - framesBefore) / 10).toBeLessThanOrEqual(4.1);
  });
});
