/** Proxies that start before the controllers that they are to follow. */
import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { createQuietLog } from '../../transport/log.js';
import { randomInt } from '../../transport/rng.js';
import { createPeers } from '../messaging/peers.js';
import { createFollower } from '../distribution/follower.js';
import type { Follower } from '../distribution/follower.js';

const CONTROLLERS = ['h1', 'h2', 'h3'];
const MAX_START_MS = 600;

const log = createQuietLog().component('follow');

async function coreAfterPowerLoss(seed: number): Promise<SimCore> {
  const core = createSimCore(seed);
  core.startAll();
  expect(await core.until(20_000, () => core.whole(CONTROLLERS))).toBe(true);
  await core.world.advance(3_000);
  for (const name of CONTROLLERS) core.powerLoss(name);
  await core.world.advance(1_000);
  for (const name of CONTROLLERS) core.node(name).host.powered = true;
  return core;
}
async function startProxy(core: SimCore, name: string, zone: string): Promise<Follower> {
  core.world.host(name, zone);
  const { wire, clock } = core.lab(name);
  const seeds = core.nodes.map((n) => n.wire);
  const follower = await createFollower(
    { name, zone, region: zone },
    seeds,
    createPeers(wire, clock, log),
    clock,
    null,
    log,
  );
  follower.setTopology((of) => {
    const node = core.nodes.find((n) => n.name === of);
    return node ? { zone: node.host.zone, region: node.host.zone, up: true } : null;
  });
  return follower;
}

describe('after a total power loss', () => {
  test.each([...Array(12).keys()])(
    'proxies that start shortly before the controllers serve soon after the first two of three are up (seed %i)',
    async (seed) => {
      const core = await coreAfterPowerLoss(700 + seed);
      const { rng } = core.world;
      const proxies: Follower[] = [];
      for (const name of CONTROLLERS)
        for (let i = 0; i < 4; i += 1)
          proxies.push(await startProxy(core, `p-${name}-${i}`, core.node(name).host.zone));
      await core.world.advance(10 + randomInt(rng, 276));
      const [first, second, third] = [...CONTROLLERS].sort(() => rng.next() - 0.5) as [string, string, string];
      core.start(first);
      await core.world.advance(10 + randomInt(rng, 56));
      core.start(second);
      const from = core.world.now();
      core.world.at(500 + randomInt(rng, 1_000), () => core.start(third));
      expect(await core.until(4_000, () => proxies.every((p) => p.fresh() && !p.partitioned()))).toBe(true);
      expect(core.world.now() - from).toBeLessThanOrEqual(MAX_START_MS);
    },
  );

  test.each([...Array(6).keys()])(
    'proxies whose nearest controller stays down follow another one, and report to it, as soon as it attests (seed %i)',
    async (seed) => {
      const core = await coreAfterPowerLoss(720 + seed);
      core.node('h3').host.powered = false;
      const proxies: Follower[] = [];
      for (let i = 0; i < 4; i += 1) proxies.push(await startProxy(core, `p-h3-${i}`, core.node('h3').host.zone));
      await core.world.advance(randomInt(core.world.rng, 200));
      core.start('h1');
      core.start('h2');
      expect(await core.until(4_000, () => proxies.every((p) => p.fresh()))).toBe(true);
      await core.world.advance(50);
      for (const p of proxies) expect([core.node('h1').wire, core.node('h2').wire]).toContain(p.followed());
    },
  );
});
