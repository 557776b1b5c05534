import { describe, expect, test } from '@jest/globals';
import { err } from '../../base/result.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore, SimCoreOptions } from '../../sim/sim-core.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const FIVE = ['h1', 'h2', 'h3', 'h4', 'h5'];

async function bootstrapped(
  seed: number,
  names: readonly string[],
  options: Pick<SimCoreOptions, 'toleratedLosses'> = {},
): Promise<SimCore> {
  const core = createSimCore(seed, { controllers: names.length, seeds: 3, regionMs: 35, ...options });
  core.startAll();
  expect(await core.until(6_000, () => core.whole(names))).toBe(true);
  return core;
}

function partitionBetween(core: SimCore, group: readonly string[], others: readonly string[]): void {
  for (const a of group) {
    for (const b of others) {
      core.world.cut(a, b);
      core.world.cut(b, a);
    }
  }
}

function healBetween(core: SimCore, a: string, b: string): void {
  core.world.heal(a, b);
  core.world.heal(b, a);
}

async function expectConfirmed(core: SimCore, at: string, zone: string, withinMs: number): Promise<void> {
  const response = await core.order(at, zone, withinMs);
  expect([at, zone, response.result, response.tookMs]).toMatchObject([
    at,
    zone,
    { ok: true, value: { outcome: { tag: 'applied' } } },
    expect.any(Number),
  ]);
  expect(response.tookMs).toBeLessThan(withinMs);
}

describe('a formerly partitioned member reads through removed or lagging members', () => {
  // Of five members two are partitioned, a sixth joins, and one of the two is removed. The next order is confirmed without `h5`. Then
  // the partitioned member that is still in the group reaches only the replaced one and `h5`: a majority of the
  // members that it knows, but none of them knows the order.
  test.each(SEEDS)('a read is never older than what was confirmed before it (seed %i)', async (seed) => {
    const core = await bootstrapped(seed, FIVE);
    partitionBetween(core, ['h1', 'h3'], ['h2', 'h4', 'h5']);
    core.addNode('h6');
    partitionBetween(core, ['h1', 'h3'], ['h6']);
    core.seeds(['h2', 'h4', 'h5']);
    core.start('h6');
    const hasReplaced = (name: string): boolean =>
      core.members(name).includes('h6') && core.members(name).length === FIVE.length;
    expect(await core.until(8_000, () => hasReplaced('h6') && hasReplaced('h5'))).toBe(true);
    const stale = core.members('h6').includes('h1') ? 'h1' : 'h3';
    partitionBetween(core, ['h5'], ['h2', 'h4', 'h6']);
    await core.world.advance(core.world.rng.next() * 1_000);
    await expectConfirmed(core, 'h2', 'new', 2_000);
    healBetween(core, stale, 'h5');
    for (let n = 0; n < 6; n += 1) {
      const read = await core.readEvacuatedZones(stale);
      if (read !== null) expect(read).toContain('new');
      await core.world.advance(250);
    }
    core.world.healAll();
    expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3', 'h4', 'h5', 'h6']))).toBe(true);
    for (const n of core.nodes) expect(await core.readEvacuatedZones(n.name)).toEqual(['new']);
    expect(core.broken).toEqual([]);
  });
});

describe('orders while one member is partitioned, and right after', () => {
  // While partitioned, the member is given orders that it can't commit. It alone has accepted them, and it outbids the
  // others when it is back.
  test.each(SEEDS)(
    'each is confirmed within 5 s wherever it is placed; an abandoned one takes effect everywhere or nowhere (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, seed % 2 === 0 ? ['h1', 'h2', 'h3'] : FIVE);
      const names = core.nodes.map((n) => n.name);
      const isolated = names[seed % names.length] as string;
      const others = names.filter((name) => name !== isolated);
      await expectConfirmed(core, isolated, 'before', 1_500);
      core.isolate([isolated]);
      const abandoned: string[] = [];
      const from = core.world.now();
      for (let n = 0; core.world.now() - from < 20_000; n += 1) {
        const pendingOrder = core.order(isolated, `alone-${n}`, 1_500);
        await expectConfirmed(core, others[n % others.length] as string, `during-${n}`, 1_500);
        const rejected = await pendingOrder;
        expect([rejected.result?.ok, rejected.tookMs < 1_600]).toEqual([false, true]);
        expect(await core.readEvacuatedZones(isolated)).toBeNull();
        abandoned.push(`alone-${n}`);
        await core.world.advance(core.world.rng.next() * 2_000);
      }
      core.world.healAll();
      const first = others.map((name, i) => expectConfirmed(core, name, `healed-${i}`, 1_500));
      await expectConfirmed(core, isolated, 'returned', 5_000);
      await Promise.all(first);
      const reads = new Set<string>();
      for (const name of names)
        reads.add(
          (await core.readEvacuatedZones(name))?.filter((zone) => abandoned.includes(zone)).join() ?? 'refused',
        );
      await core.world.advance(6_000);
      for (const name of names)
        reads.add(
          (await core.readEvacuatedZones(name))?.filter((zone) => abandoned.includes(zone)).join() ?? 'refused',
        );
      expect(reads.size).toBe(1);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'a member replaced or removed meanwhile accepts orders and reads as soon as it is back (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, ['h1', 'h2', 'h3']);
      core.isolate(['h2']);
      core.addNode('h4');
      partitionBetween(core, ['h2'], ['h4']);
      core.start('h4');
      expect(await core.until(8_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      await expectConfirmed(core, 'h4', 'during', 1_500);
      await core.world.advance(12_000);
      core.world.healAll();
      await core.world.advance(core.world.rng.next() * 1_500);
      await expectConfirmed(core, 'h2', 'returned', 2_500);
      expect(await core.readEvacuatedZones('h2')).toEqual(['during', 'returned']);
      expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      expect(core.broken).toEqual([]);
    },
  );
});

describe('the lease while the members change', () => {
  const LEASE_SEEDS = [...Array(24).keys()];
  const unavailableList = { read: () => Promise.resolve(err({ tag: 'listSilent' as const })) };

  function holders(core: SimCore): string[] {
    return core.nodes.filter((n) => n.host.running && n.controller?.holdsScaler()).map((n) => n.name);
  }
  async function createCoreWithLease(
    seed: number,
    names: readonly string[],
    options: Pick<SimCoreOptions, 'toleratedLosses'> = {},
  ): Promise<SimCore> {
    const core = createSimCore(seed, {
      controllers: names.length,
      seeds: 3,
      regionMs: 35,
      listReader: () => unavailableList,
      ...options,
    });
    core.startAll();
    expect(await core.until(6_000, () => core.whole(names))).toBe(true);
    expect(await core.until(20_000, () => holders(core).length === 1)).toBe(true);
    return core;
  }
  async function expectAtMostOneHolder(core: SimCore, ms: number): Promise<void> {
    for (const end = core.world.now() + ms; core.world.now() < end;) {
      await core.world.advance(20);
      expect(holders(core).length).toBeLessThanOrEqual(1);
    }
  }

  test.each(LEASE_SEEDS)(
    'five members, of which the holder (out of contact with two) and another are removed: never two holders (seed %i)',
    async (seed) => {
      const core = await createCoreWithLease(seed, FIVE, { toleratedLosses: 1 });
      const holder = holders(core)[0] as string;
      const others = FIVE.filter((name) => name !== holder);
      const companion = others[seed % 4] as string;
      const rest = others.filter((name) => name !== companion);
      partitionBetween(core, [holder], rest.slice(1));
      await core.world.advance(8_000 + core.world.rng.next() * 1_000);
      expect(holders(core)).toEqual([holder]);
      partitionBetween(core, [holder, companion], rest);
      await expectAtMostOneHolder(core, 16_000);
      expect(holders(core)).toHaveLength(1);
      expect(core.members(holders(core)[0] as string)).toHaveLength(3);
    },
  );

  test.each(LEASE_SEEDS)(
    'the holder (out of contact with one) is replaced by a waiting controller: never two holders (seed %i)',
    async (seed) => {
      const core = await createCoreWithLease(seed, ['h1', 'h2', 'h3']);
      const holder = holders(core)[0] as string;
      const others = ['h1', 'h2', 'h3'].filter((name) => name !== holder);
      core.addNode('h4');
      partitionBetween(core, ['h4'], ['h1', 'h2', 'h3']);
      core.start('h4');
      partitionBetween(core, [holder], others.slice(1));
      await core.world.advance(8_000 + core.world.rng.next() * 1_000);
      expect(holders(core)).toEqual([holder]);
      partitionBetween(core, [holder], others);
      await core.world.advance(core.world.rng.next() * 3_000);
      for (const name of others) healBetween(core, 'h4', name);
      await expectAtMostOneHolder(core, 16_000);
      expect(holders(core)).toHaveLength(1);
    },
  );
});
