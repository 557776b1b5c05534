import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';

const THREE = ['h1', 'h2', 'h3'];
const THREE_OF_FIVE = { controllers: 5, seeds: 3, regionMs: 35 };

function ledgerNames(core: SimCore): string[] {
  const found = new Set<string>();
  for (const n of core.nodes) found.add(n.controller?.ledger.controlState().ledger ?? '');
  return [...found];
}

describe('bootstrap at the first start of all controllers', () => {
  test.each([1, 2, 3, 4, 5, 6])(
    'three seeds bootstrap one ledger within two seconds, and accept an order (seed %i)',
    async (seed) => {
      const core = createSimCore(seed);
      core.startAll();
      expect(await core.until(2_000, () => core.whole(THREE))).toBe(true);
      expect((await core.order('h2', 'a')).result).toMatchObject({ ok: true, value: { outcome: { tag: 'applied' } } });
      expect(await core.readEvacuatedZones('h3')).toEqual(['a']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each([1, 2, 3])('a single seed bootstraps a ledger alone (seed %i)', async (seed) => {
    const core = createSimCore(seed, { controllers: 1, seeds: 1, regionMs: 35 });
    core.startAll();
    expect(await core.until(2_000, () => core.whole(['h1']))).toBe(true);
  });

  test.each([1, 2, 3, 4])(
    'controllers that are not seeds bootstrap nothing without a majority of the seeds (seed %i)',
    async (seed) => {
      const core = createSimCore(seed, THREE_OF_FIVE);
      for (const name of ['h4', 'h5', 'h1']) core.start(name);
      await core.world.advance(6_000);
      expect(ledgerNames(core)).toEqual(['']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each([...Array(40).keys()])(
    'controllers killed at any time during it cause neither a stuck core nor a second ledger (seed %i)',
    async (seed) => {
      const core = createSimCore(100 + seed);
      core.startAll();
      await core.world.advance(core.world.rng.next() * 600);
      const victims = THREE.filter(() => core.world.rng.next() < 0.5);
      const losesPower = core.world.rng.next() < 0.5;
      for (const victim of victims) {
        if (losesPower) core.powerLoss(victim);
        else core.kill(victim);
      }
      await core.world.advance(core.world.rng.next() * 4_000);
      core.startAll();
      expect(await core.until(5_000, () => core.whole(THREE))).toBe(true);
      expect((await core.order('h1', 'a')).result).toMatchObject({ ok: true });
      expect(core.broken).toEqual([]);
    },
  );

  test.each([...Array(20).keys()])(
    'a seed that loses its disk during it joins the ledger that the others bootstrapped (seed %i)',
    async (seed) => {
      const core = createSimCore(200 + seed);
      core.startAll();
      await core.world.advance(core.world.rng.next() * 500);
      core.kill('h1');
      core.wipe('h1');
      await core.world.advance(core.world.rng.next() * 5_000);
      core.start('h1');
      expect(await core.until(8_000, () => core.whole(THREE))).toBe(true);
      expect(core.broken).toEqual([]);
    },
  );

  test.each([1, 2, 3, 4])('blank machines beside an existing ledger bootstrap nothing (seed %i)', async (seed) => {
    const core = createSimCore(seed);
    core.startAll();
    expect(await core.until(2_000, () => core.whole(THREE))).toBe(true);
    for (const name of THREE) core.kill(name);
    for (const name of ['h1', 'h2']) core.wipe(name);
    for (const name of ['h1', 'h2']) core.start(name);
    await core.world.advance(10_000);
    expect(ledgerNames(core)).toEqual(['']);
    core.start('h3');
    await core.world.advance(5_000);
    expect(core.broken).toEqual([]);
  });
});
