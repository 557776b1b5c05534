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
type TestGroup = {
  readonly world: World;
  readonly nodes: Node[];
  readonly sent: () => { readonly frames: number; readonly bytes: number };
  readonly startNode: (name: string, at: number) => Promise<void>;
};

const REGIONS = 7;

function addressOf(at: number): string {
  return `10.0.0.1:${10_000 + at}`;
}

async function createGroup(size: number, seed: number): Promise<TestGroup> {
  const world = createWorld(seed);
  const net = createSimNet(world);
  const nodes: Node[] = [];
  let runCount = 0;
  async function startNode(name: string, at: number): Promise<void> {
    const region = `r${at % REGIONS}`;
    const proc = world.startProcess(world.host(name, region));
    const log = createQuietLog().component('members');
    const clock = world.clockOf(proc);
    const peers = createPeers(net.wireOf(proc), clock, log);
    await peers.open(addressOf(at));
    runCount += 1;
    const self = {
      name,
      role: 'proxy' as const,
      run: `run-${runCount}`,
      incarnation: 0,
      address: addressOf(at),
      http: '',
      zone: region,
      region,
      status: 'alive' as const,
    };
    const membership = createMembership(
      self,
      () => [addressOf(0)],
      peers,
      clock,
      createRng(seed * 1_000 + runCount),
      log,
    );
    const existing = nodes.find((n) => n.name === name);
    if (existing) existing.membership = membership;
    else nodes.push({ name, membership });
  }
  for (let i = 0; i < size; i += 1) await startNode(`n${i}`, i);
  return { world, nodes, sent: net.sent, startNode };
}

async function waitUntil(group: TestGroup, timeoutMs: number, condition: () => boolean): Promise<boolean> {
  for (let elapsedMs = 0; elapsedMs < timeoutMs; elapsedMs += 500) {
    await group.world.advance(500);
    if (condition()) return true;
  }
  return false;
}

function hasConverged(group: TestGroup): boolean {
  return group.nodes.every((n) => n.membership.all().filter((m) => m.status === 'alive').length === group.nodes.length);
}

async function trafficPerNode(group: TestGroup, ms: number): Promise<{ frames: number; bytes: number }> {
  const before = group.sent();
  await group.world.advance(ms);
  const after = group.sent();
  const perSecond = (key: 'frames' | 'bytes') => (after[key] - before[key]) / (ms / 1_000) / group.nodes.length;
  return { frames: perSecond('frames'), bytes: perSecond('bytes') };
}

describe('membership', () => {
  test('the probe traffic per node does not grow with the number of nodes', async () => {
    const traffic: { frames: number; bytes: number }[] = [];
    for (const size of [21, 73, 147]) {
      const group = await createGroup(size, size);
      expect(await waitUntil(group, 60_000, () => hasConverged(group))).toBe(true);
      await group.world.advance(60_000);
      traffic.push(await trafficPerNode(group, 10_000));
    }
    const [small, , large] = traffic as [{ frames: number; bytes: number }, unknown, { frames: number; bytes: number }];
    expect(small.frames).toBeGreaterThan(2);
    expect(large.frames).toBeLessThan(small.frames * 1.1);
    expect(large.bytes).toBeLessThan(small.bytes * 1.1);
    expect(large.bytes).toBeLessThan(1_000);
  });

  test('all nodes of a lost region are known as dead everywhere within 15 s', async () => {
    const group = await createGroup(42, 5);
    expect(await waitUntil(group, 60_000, () => hasConverged(group))).toBe(true);
    const lost = group.nodes.filter((_, i) => i % REGIONS === 3);
    for (const n of lost) group.world.kill(group.world.host(n.name, 'r3'));
    const remaining = group.nodes.filter((n) => !lost.includes(n));
    expect(
      await waitUntil(group, 15_000, () =>
        remaining.every((n) => lost.every((l) => n.membership.get(l.name)?.status === 'dead')),
      ),
    ).toBe(true);
  });

  test('a node that restarts without stored state is known under its new run by all others', async () => {
    const group = await createGroup(21, 6);
    expect(await waitUntil(group, 60_000, () => hasConverged(group))).toBe(true);
    group.world.kill(group.world.host('n4', 'r4'));
    await group.startNode('n4', 4);
    const run = group.nodes[4]?.membership.get('n4')?.run;
    expect(
      await waitUntil(
        group,
        20_000,
        () => hasConverged(group) && group.nodes.every((n) => n.membership.get('n4')?.run === run),
      ),
    ).toBe(true);
  });

  test('a node paused beyond the suspicion timeout refutes its failure once it resumes', async () => {
    const group = await createGroup(14, 7);
    expect(await waitUntil(group, 60_000, () => hasConverged(group))).toBe(true);
    group.world.freeze(group.world.host('n5', 'r5'));
    expect(
      await waitUntil(group, 20_000, () =>
        group.nodes.every((n) => n.name === 'n5' || n.membership.get('n5')?.status === 'dead'),
      ),
    ).toBe(true);
    group.world.thaw(group.world.host('n5', 'r5'));
    expect(await waitUntil(group, 20_000, () => hasConverged(group))).toBe(true);
  });
});
