import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { createQuietLog } from '../../transport/log.js';
import { createPeers } from '../messaging/peers.js';
import { createFollower } from '../distribution/follower.js';
import type { Follower } from '../distribution/follower.js';

const BOUND_MS = 2_500;
const log = createQuietLog().component('follow');

type Edge = { readonly name: string; readonly follower: Follower };

async function begun(seed: number, controllers: number): Promise<SimCore> {
  const core = createSimCore(seed, { controllers, seeds: controllers, regionMs: 35 });
  core.startAll();
  const names = core.nodes.map((n) => n.name);
  expect(await core.until(20_000, () => core.whole(names))).toBe(true);
  await core.world.advance(1_000);
  return core;
}

async function edge(core: SimCore, name: string, zone: string): Promise<Edge> {
  core.world.host(name, zone);
  const { wire, clock } = core.lab(name);
  const peers = createPeers(wire, clock, log);
  const seeds = core.nodes.map((n) => n.wire);
  const follower = await createFollower({ name, zone, region: zone }, seeds, peers, clock, null, log);
  follower.setTopology((of) => {
    const node = core.nodes.find((n) => n.name === of);
    return node ? { zone: node.host.zone, region: node.host.zone, up: true } : null;
  });
  return { name, follower };
}

async function edges(core: SimCore, each: number): Promise<Edge[]> {
  const out: Edge[] = [];
  for (const n of core.nodes)
    for (let i = 0; i < each; i += 1) out.push(await edge(core, `s-${n.name}-${i}`, n.host.zone));
  expect(await core.until(10_000, () => out.every((e) => e.follower.fresh()))).toBe(true);
  await core.world.advance(12_000);
  return out;
}

function followedBy(core: SimCore, e: Edge): string {
  return core.nodes.find((n) => n.wire === e.follower.followed())?.name ?? '';
}

function serves(e: Edge): boolean {
  return e.follower.fresh() && !e.follower.partitioned();
}

async function inForceOrPartitioned(core: SimCore, all: readonly Edge[], at: string, zone: string): Promise<Edge[]> {
  const response = await core.order(at, zone);
  expect(response.result).toEqual(expect.objectContaining({ ok: true }));
  const until = core.world.now() + BOUND_MS;
  const late = (e: Edge) => serves(e) && e.follower.controlState().evacuated[zone] === undefined;
  await core.until(BOUND_MS, () => !all.some(late));
  expect(all.filter(late).map((e) => e.name)).toEqual([]);
  while (core.world.now() < until) await core.world.advance(50);
  expect(all.filter(late).map((e) => e.name)).toEqual([]);
  return all.filter(serves);
}

describe('following one controller', () => {
  test('the nearest is followed, and the others are told nothing by it', async () => {
    const core = await begun(1, 5);
    const all = await edges(core, 2);
    expect(all.map((e) => followedBy(core, e))).toEqual(['h1', 'h1', 'h2', 'h2', 'h3', 'h3', 'h4', 'h4', 'h5', 'h5']);
    expect(await inForceOrPartitioned(core, all, 'h2', 'one')).toEqual(all);
  });

  const LOSSES: Readonly<Record<string, (core: SimCore, head: string, of: readonly string[]) => void>> = {
    killed: (core, head) => core.kill(head),
    powerless: (core, head) => core.powerLoss(head),
    frozen: (core, head) => core.world.freeze(core.node(head).host),
    'cut off from the core': (core, head) => core.cutOff([head]),
    'deaf to its followers': (core, head, of) => of.forEach((s) => core.world.cut(s, head)),
    'mute to its followers': (core, head, of) => of.forEach((s) => core.world.cut(head, s)),
  };
  test.each(Object.keys(LOSSES).flatMap((how, i) => [0, 1, 2].map((n) => [how, 10 * i + n] as const)))(
    'the followed one is %s: in force within the bound at all, none partitioned for long (seed %i)',
    async (how, seed) => {
      const core = await begun(100 + seed, seed % 2 === 0 ? 3 : 5);
      const all = await edges(core, 3);
      const lost = all.filter((e) => followedBy(core, e) === 'h1');
      expect(lost.length).toBe(3);
      let partitioned = 0;
      LOSSES[how]?.(
        core,
        'h1',
        lost.map((e) => e.name),
      );
      await core.world.advance(300 * (seed % 3));
      await inForceOrPartitioned(core, all, 'h2', 'first');
      for (let i = 0; i < 20; i += 1) {
        if (lost.some((e) => e.follower.partitioned())) partitioned += 1;
        await core.world.advance(50);
      }
      expect(partitioned).toBe(0);
      expect(lost.every((e) => followedBy(core, e) !== 'h1')).toBe(true);
      expect(await inForceOrPartitioned(core, all, 'h3', 'second')).toEqual(all);
      expect(core.broken).toEqual([]);
    },
  );

  test.each([0, 1, 2, 3])(
    'a controller that came back from a freeze attests nothing of before (seed %i)',
    async (seed) => {
      const core = await begun(200 + seed, 3);
      const all = await edges(core, 2);
      core.world.freeze(core.node('h1').host);
      await core.world.advance(2_000 + 300 * seed);
      expect((await core.order('h2', 'meanwhile')).result?.ok).toBe(true);
      await core.world.advance(BOUND_MS);
      core.world.thaw(core.node('h1').host);
      for (let i = 0; i < 100; i += 1) {
        await core.world.advance(20);
        expect(all.filter((e) => serves(e) && e.follower.controlState().evacuated['meanwhile'] === undefined)).toEqual(
          [],
        );
      }
    },
  );

  test.each([0, 1, 2, 3])(
    'one that begins anew beside a controller that is behind serves only with all news (seed %i)',
    async (seed) => {
      const core = await begun(300 + seed, 3);
      core.cutOff(['h1']);
      await core.world.advance(100);
      expect((await core.order('h2', 'unseen')).result?.ok).toBe(true);
      const fresh = [await edge(core, 'young', 'zone-h1'), await edge(core, 'younger', 'zone-h1')];
      for (let i = 0; i < 300; i += 1) {
        await core.world.advance(20);
        expect(
          fresh.filter((e) => e.follower.fresh() && e.follower.controlState().evacuated['unseen'] === undefined),
        ).toEqual([]);
      }
      expect(fresh.every(serves)).toBe(true);
    },
  );

  test('without a majority all are partitioned, and follow again once it is back', async () => {
    const core = await begun(400, 3);
    const all = await edges(core, 2);
    core.kill('h2');
    core.kill('h3');
    await core.world.advance(BOUND_MS + 100);
    expect(all.filter((e) => !e.follower.partitioned())).toEqual([]);
    core.start('h2');
    expect(await core.until(6_000, () => all.every(serves))).toBe(true);
  });

  test('a near controller that comes back is followed again', async () => {
    const core = await begun(500, 3);
    const all = await edges(core, 2);
    core.kill('h1');
    await core.world.advance(4_000);
    core.start('h1');
    expect(await core.until(40_000, () => all.every((e) => followedBy(core, e) === e.name.slice(2, 4)))).toBe(true);
    expect(all.every(serves)).toBe(true);
  });

  test('what following costs a proxy does not grow with the core or the fleet', async () => {
    async function cost(controllers: number, each: number): Promise<{ frames: number; bytes: number }> {
      async function measured(n: number): Promise<{ frames: number; bytes: number; count: number }> {
        const core = await begun(600, controllers);
        const all = n === 0 ? [] : await edges(core, n);
        await core.world.advance(3_000);
        const before = core.sent();
        await core.world.advance(10_000);
        const after = core.sent();
        return {
          frames: (after.frames - before.frames) / 10,
          bytes: (after.bytes - before.bytes) / 10,
          count: all.length,
        };
      }
      const none = await measured(0);
      const some = await measured(each);
      return { frames: (some.frames - none.frames) / some.count, bytes: (some.bytes - none.bytes) / some.count };
    }
    const few = await cost(3, 8);
    const wide = await cost(9, 8);
    const many = await cost(3, 117);
    expect(few.frames).toBeGreaterThan(2);
    for (const c of [few, wide, many]) {
      expect(c.frames).toBeLessThan(5);
      expect(c.bytes).toBeLessThan(1_000);
      expect(Math.abs(c.frames - few.frames)).toBeLessThan(0.5);
    }
  });
});
