import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { createQuietLog } from '../../transport/log.js';
import { createPeers } from '../messaging/peers.js';
import { createFollower } from '../distribution/follower.js';
import type { Follower } from '../distribution/follower.js';

const BOUND_MS = 2_500;
const log = createQuietLog().component('follow');

type TestProxy = { readonly name: string; readonly follower: Follower };

async function startCore(seed: number, controllers: number): Promise<SimCore> {
  const core = createSimCore(seed, { controllers, seeds: controllers, regionMs: 35 });
  core.startAll();
  const names = core.nodes.map((n) => n.name);
  expect(await core.until(20_000, () => core.whole(names))).toBe(true);
  await core.world.advance(1_000);
  return core;
}

async function startProxy(core: SimCore, name: string, zone: string): Promise<TestProxy> {
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

async function startProxies(core: SimCore, perController: number): Promise<TestProxy[]> {
  const proxies: TestProxy[] = [];
  for (const node of core.nodes)
    for (let i = 0; i < perController; i += 1)
      proxies.push(await startProxy(core, `s-${node.name}-${i}`, node.host.zone));
  expect(await core.until(10_000, () => proxies.every((proxy) => proxy.follower.fresh()))).toBe(true);
  await core.world.advance(12_000);
  return proxies;
}

function followedBy(core: SimCore, proxy: TestProxy): string {
  return core.nodes.find((n) => n.wire === proxy.follower.followed())?.name ?? '';
}

function isServing(proxy: TestProxy): boolean {
  return proxy.follower.fresh() && !proxy.follower.partitioned();
}

async function expectInForceOrPartitioned(
  core: SimCore,
  all: readonly TestProxy[],
  at: string,
  zone: string,
): Promise<TestProxy[]> {
  const response = await core.order(at, zone);
  expect(response.result).toEqual(expect.objectContaining({ ok: true }));
  const deadline = core.world.now() + BOUND_MS;
  const isLate = (proxy: TestProxy) => isServing(proxy) && proxy.follower.controlState().evacuated[zone] === undefined;
  await core.until(BOUND_MS, () => !all.some(isLate));
  expect(all.filter(isLate).map((proxy) => proxy.name)).toEqual([]);
  while (core.world.now() < deadline) await core.world.advance(50);
  expect(all.filter(isLate).map((proxy) => proxy.name)).toEqual([]);
  return all.filter(isServing);
}

describe('following one controller', () => {
  test('each proxy follows the nearest controller and sends nothing to the others', async () => {
    const core = await startCore(1, 5);
    const all = await startProxies(core, 2);
    expect(all.map((p) => followedBy(core, p))).toEqual(['h1', 'h1', 'h2', 'h2', 'h3', 'h3', 'h4', 'h4', 'h5', 'h5']);
    expect(await expectInForceOrPartitioned(core, all, 'h2', 'one')).toEqual(all);
  });

  const FAILURES: Readonly<Record<string, (core: SimCore, controller: string, proxies: readonly string[]) => void>> = {
    killed: (core, controller) => core.kill(controller),
    unpowered: (core, controller) => core.powerLoss(controller),
    frozen: (core, controller) => core.world.freeze(core.node(controller).host),
    'partitioned from the core': (core, controller) => core.isolate([controller]),
    'unable to receive from its followers': (core, controller, proxies) =>
      proxies.forEach((proxy) => core.world.cut(proxy, controller)),
    'unable to send to its followers': (core, controller, proxies) =>
      proxies.forEach((proxy) => core.world.cut(controller, proxy)),
  };
  test.each(Object.keys(FAILURES).flatMap((failure, i) => [0, 1, 2].map((n) => [failure, 10 * i + n] as const)))(
    'the followed controller is %s: a change is in force everywhere within the bound, no proxy stays partitioned (seed %i)',
    async (failure, seed) => {
      const core = await startCore(100 + seed, seed % 2 === 0 ? 3 : 5);
      const all = await startProxies(core, 3);
      const affected = all.filter((proxy) => followedBy(core, proxy) === 'h1');
      expect(affected.length).toBe(3);
      let partitioned = 0;
      FAILURES[failure]?.(
        core,
        'h1',
        affected.map((proxy) => proxy.name),
      );
      await core.world.advance(300 * (seed % 3));
      await expectInForceOrPartitioned(core, all, 'h2', 'first');
      for (let i = 0; i < 20; i += 1) {
        if (affected.some((proxy) => proxy.follower.partitioned())) partitioned += 1;
        await core.world.advance(50);
      }
      expect(partitioned).toBe(0);
      expect(affected.every((proxy) => followedBy(core, proxy) !== 'h1')).toBe(true);
      expect(await expectInForceOrPartitioned(core, all, 'h3', 'second')).toEqual(all);
      expect(core.broken).toEqual([]);
    },
  );

  test.each([0, 1, 2, 3])(
    'a controller that resumes from a freeze does not attest its state of before the freeze (seed %i)',
    async (seed) => {
      const core = await startCore(200 + seed, 3);
      const all = await startProxies(core, 2);
      core.world.freeze(core.node('h1').host);
      await core.world.advance(2_000 + 300 * seed);
      expect((await core.order('h2', 'meanwhile')).result?.ok).toBe(true);
      await core.world.advance(BOUND_MS);
      core.world.thaw(core.node('h1').host);
      for (let i = 0; i < 100; i += 1) {
        await core.world.advance(20);
        expect(
          all.filter((proxy) => isServing(proxy) && proxy.follower.controlState().evacuated['meanwhile'] === undefined),
        ).toEqual([]);
      }
    },
  );

  test.each([0, 1, 2, 3])(
    'a proxy that starts next to a controller that is behind serves only once it has all changes (seed %i)',
    async (seed) => {
      const core = await startCore(300 + seed, 3);
      core.isolate(['h1']);
      await core.world.advance(100);
      expect((await core.order('h2', 'unseen')).result?.ok).toBe(true);
      const started = [await startProxy(core, 'young', 'zone-h1'), await startProxy(core, 'younger', 'zone-h1')];
      for (let i = 0; i < 300; i += 1) {
        await core.world.advance(20);
        expect(
          started.filter(
            (proxy) => proxy.follower.fresh() && proxy.follower.controlState().evacuated['unseen'] === undefined,
          ),
        ).toEqual([]);
      }
      expect(started.every(isServing)).toBe(true);
    },
  );

  test('without a majority all proxies are partitioned, and follow again once it is back', async () => {
    const core = await startCore(400, 3);
    const all = await startProxies(core, 2);
    core.kill('h2');
    core.kill('h3');
    await core.world.advance(BOUND_MS + 100);
    expect(all.filter((proxy) => !proxy.follower.partitioned())).toEqual([]);
    core.start('h2');
    expect(await core.until(6_000, () => all.every(isServing))).toBe(true);
  });

  test('a nearer controller that comes back is followed again', async () => {
    const core = await startCore(500, 3);
    const all = await startProxies(core, 2);
    core.kill('h1');
    await core.world.advance(4_000);
    core.start('h1');
    expect(
      await core.until(40_000, () => all.every((proxy) => followedBy(core, proxy) === proxy.name.slice(2, 4))),
    ).toBe(true);
    expect(all.every(isServing)).toBe(true);
  });

  test('the traffic that one proxy causes does not grow with the number of controllers or proxies', async () => {
    async function costPerProxy(
      controllers: number,
      perController: number,
    ): Promise<{ frames: number; bytes: number }> {
      async function measureTraffic(
        proxiesPerController: number,
      ): Promise<{ frames: number; bytes: number; count: number }> {
        const core = await startCore(600, controllers);
        const all = proxiesPerController === 0 ? [] : await startProxies(core, proxiesPerController);
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
      const withoutProxies = await measureTraffic(0);
      const withProxies = await measureTraffic(perController);
      return {
        frames: (withProxies.frames - withoutProxies.frames) / withProxies.count,
        bytes: (withProxies.bytes - withoutProxies.bytes) / withProxies.count,
      };
    }
    const small = await costPerProxy(3, 8);
    const moreControllers = await costPerProxy(9, 8);
    const moreProxies = await costPerProxy(3, 117);
    expect(small.frames).toBeGreaterThan(2);
    for (const cost of [small, moreControllers, moreProxies]) {
      expect(cost.frames).toBeLessThan(5);
      expect(cost.bytes).toBeLessThan(1_000);
      expect(Math.abs(cost.frames - small.frames)).toBeLessThan(0.5);
    }
  });
});
