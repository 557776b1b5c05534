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

type Room = {
  readonly world: World;
  readonly hosts: Map<string, Host>;
  readonly leases: Map<string, Lease>;
  readonly holders: () => string[];
  readonly frames: () => number;
};

async function room(seed: number): Promise<Room> {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const controlState = emptyControlState();
  controlState.ledger = 'ledger-1';
  controlState.members = NAMES.map((name) => ({ name, incarnation: 'i1', address: `${name}:1` }));
  const hosts = new Map<string, Host>();
  const leases = new Map<string, Lease>();
  let serial = 0;
  function propose(draft: { readonly cause: string; readonly act: Command }): Promise<unknown> {
    const slot = controlState.slot + 1;
    const [outcome] = foldBatch(controlState, slot, {
      id: `b${slot}`,
      entries: [{ id: `e${(serial += 1)}`, author: '-', wall: 0, ...draft }],
    });
    return Promise.resolve({ ok: true, value: { slot, outcome } });
  }
  for (const m of controlState.members) {
    const host = world.host(m.name, m.name);
    const proc = world.begin(host);
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
  test.each([1, 2, 3, 4])('stays with its holder while another member says nothing (seed %i)', async (seed) => {
    const { world, hosts, holders, leases } = await room(seed);
    expect(await world.until(15_000, () => holders().length === 1)).toBe(true);
    const holder = holders()[0] as string;
    const silent = hosts.get(NAMES.find((n) => n !== holder) as string) as Host;
    silent.powered = false;
    world.kill(silent);
    let least = Infinity;
    for (let ms = 0; ms < 20_000; ms += 50) {
      expect(holders()).toEqual([holder]);
      least = Math.min(least, leases.get(holder)?.leftMs() ?? 0);
      await world.advance(50);
    }
    expect(least).toBeGreaterThan(3_700);
  });

  test.each([1, 2, 3, 4])('goes to one other once its holder is cut off (seed %i)', async (seed) => {
    const { world, holders, leases } = await room(10 + seed);
    expect(await world.until(15_000, () => holders().length === 1)).toBe(true);
    const was = holders()[0] as string;
    for (const n of NAMES) {
      world.cut(was, n);
      world.cut(n, was);
    }
    for (let ms = 0; ms < 13_000; ms += 50) {
      await world.advance(50);
      expect(holders().length).toBeLessThanOrEqual(1);
    }
    expect(leases.get(was)?.fence()).toBeNull();
    expect(holders()).toHaveLength(1);
  });

  test('whoever is refused by its own book asks nobody', async () => {
    const { world, holders, frames } = await room(21);
    expect(await world.until(15_000, () => holders().length === 1)).toBe(true);
    await world.advance(3_000);
    const before = frames();
    await world.advance(10_000);
    expect((frames() - before) / 10).toBeLessThanOrEqual(4.1);
  });
});
