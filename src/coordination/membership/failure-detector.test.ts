import { describe, expect, test } from '@jest/globals';
import { createQuietLog } from '../../transport/log.js';
import { createRng } from '../../transport/rng.js';
import { createSimNet } from '../../sim/sim-wire.js';
import { createWorld } from '../../sim/world.js';
import type { World } from '../../sim/world.js';
import { createMembership } from './failure-detector.js';
import type { Membership } from './failure-detector.js';
import { createPeers } from '../messaging/peers.js';

type Node = { readonly name: string; membership: Membership };
type Group = {
  readonly world: World;
  readonly nodes: Node[];
  readonly sent: () => { readonly frames: number; readonly bytes: number };
  readonly begin: (name: string, at: number) => Promise<void>;
};

const REGIONS = 7;

function addressOf(at: number): string {
  return `10.0.0.1:${10_000 + at}`;
}

async function group(size: number, seed: number): Promise<Group> {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const nodes: Node[] = [];
  let runs = 0;
  async function begin(name: string, at: number): Promise<void> {
    const region = `r${at % REGIONS}`;
    const proc = world.begin(world.host(name, region));
    const log = createQuietLog().component('members');
    const clock = world.clockOf(proc);
    const peers = createPeers(net.wireOf(proc), clock, log);
    await peers.open(addressOf(at));
    runs += 1;
    const self = {
      name,
      role: 'proxy' as const,
      run: `run-${runs}`,
      incarnation: 0,
      address: addressOf(at),
      http: '',
      zone: region,
      region,
      status: 'alive' as const,
    };
    const membership = createMembership(self, () => [addressOf(0)], peers, clock, createRng(seed * 1_000 + runs), log);
    const held = nodes.find((n) => n.name === name);
    if (held) held.membership = membership;
    else nodes.push({ name, membership });
  }
  for (let i = 0; i < size; i += 1) await begin(`n${i}`, i);
  return { world, nodes, sent: net.sent, begin };
}

async function soon(g: Group, limitMs: number, test: () => boolean): Promise<boolean> {
  for (let at = 0; at < limitMs; at += 500) {
    await g.world.advance(500);
    if (test()) return true;
  }
  return false;
}

function knowsAll(g: Group): boolean {
  return g.nodes.every((n) => n.membership.all().filter((m) => m.status === 'alive').length === g.nodes.length);
}

async function cost(g: Group, ms: number): Promise<{ frames: number; bytes: number }> {
  const before = g.sent();
  await g.world.advance(ms);
  const after = g.sent();
  const per = (key: 'frames' | 'bytes') => (after[key] - before[key]) / (ms / 1_000) / g.nodes.length;
  return { frames: per('frames'), bytes: per('bytes') };
}

describe('membership', () => {
  test('what probing costs a node does not grow with their number', async () => {
    const told: { frames: number; bytes: number }[] = [];
    for (const size of [21, 73, 147]) {
      const g = await group(size, size);
      expect(await soon(g, 60_000, () => knowsAll(g))).toBe(true);
      await g.world.advance(60_000);
      told.push(await cost(g, 10_000));
    }
    const [small, , large] = told as [{ frames: number; bytes: number }, unknown, { frames: number; bytes: number }];
    expect(small.frames).toBeGreaterThan(2);
    expect(large.frames).toBeLessThan(small.frames * 1.1);
    expect(large.bytes).toBeLessThan(small.bytes * 1.1);
    expect(large.bytes).toBeLessThan(1_000);
  });

  test('a lost region is known as dead everywhere within 15 s', async () => {
    const g = await group(42, 5);
    expect(await soon(g, 60_000, () => knowsAll(g))).toBe(true);
    const lost = g.nodes.filter((_, i) => i % REGIONS === 3);
    for (const n of lost) g.world.kill(g.world.host(n.name, 'r3'));
    const rest = g.nodes.filter((n) => !lost.includes(n));
    expect(
      await soon(g, 15_000, () => rest.every((n) => lost.every((l) => n.membership.get(l.name)?.status === 'dead'))),
    ).toBe(true);
  });

  test('a node that begins anew without a memory is taken under its new run by all', async () => {
    const g = await group(21, 6);
    expect(await soon(g, 60_000, () => knowsAll(g))).toBe(true);
    g.world.kill(g.world.host('n4', 'r4'));
    await g.begin('n4', 4);
    const run = g.nodes[4]?.membership.get('n4')?.run;
    expect(await soon(g, 20_000, () => knowsAll(g) && g.nodes.every((n) => n.membership.get('n4')?.run === run))).toBe(
      true,
    );
  });

  test('one frozen past its suspicion refutes it once it wakes', async () => {
    const g = await group(14, 7);
    expect(await soon(g, 60_000, () => knowsAll(g))).toBe(true);
    g.world.freeze(g.world.host('n5', 'r5'));
    expect(
      await soon(g, 20_000, () => g.nodes.every((n) => n.name === 'n5' || n.membership.get('n5')?.status === 'dead')),
    ).toBe(true);
    g.world.thaw(g.world.host('n5', 'r5'));
    expect(await soon(g, 20_000, () => knowsAll(g))).toBe(true);
  });
});
