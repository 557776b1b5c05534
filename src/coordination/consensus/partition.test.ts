import { describe, expect, test } from '@jest/globals';
import { err } from '../../base/result.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const FIVE = ['h1', 'h2', 'h3', 'h4', 'h5'];

async function bootstrapped(seed: number, names: readonly string[]): Promise<SimCore> {
  const core = createSimCore(seed, { controllers: names.length, seeds: 3, regionMs: 35 });
  core.startAll();
  expect(await core.until(6_000, () => core.whole(names))).toBe(true);
  return core;
}

function cutBetween(core: SimCore, some: readonly string[], others: readonly string[]): void {
  for (const a of some) {
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

async function confirmed(core: SimCore, at: string, zone: string, withinMs: number): Promise<void> {
  const response = await core.order(at, zone, withinMs);
  expect([at, zone, response.result, response.tookMs]).toMatchObject([
    at,
    zone,
    { ok: true, value: { outcome: { tag: 'applied' } } },
    expect.any(Number),
  ]);
  expect(response.tookMs).toBeLessThan(withinMs);
}

describe('a member that was cut off reads through members that were removed or lag', () => {
  // Five members; two are cut off, and one of them is replaced. The order that follows is confirmed without `h5`. Then the
  // member that is still in the ledger reaches only the replaced one and `h5`: a majority of the members it knows, but none
  // of them has heard of the order.
  test.each(SEEDS)('what it reads is never older than what was confirmed before (seed %i)', async (seed) => {
    const core = await bootstrapped(seed, FIVE);
    cutBetween(core, ['h1', 'h3'], ['h2', 'h4', 'h5']);
    core.add('h6');
    cutBetween(core, ['h1', 'h3'], ['h6']);
    core.seeds(['h2', 'h4', 'h5']);
    core.start('h6');
    expect(await core.until(8_000, () => core.members('h6').includes('h6') && core.members('h5').includes('h6'))).toBe(
      true,
    );
    const stale = core.members('h6').includes('h1') ? 'h1' : 'h3';
    cutBetween(core, ['h5'], ['h2', 'h4', 'h6']);
    await core.world.advance(core.world.rng.next() * 1_000);
    await confirmed(core, 'h2', 'new', 2_000);
    healBetween(core, stale, 'h5');
    for (let n = 0; n < 6; n += 1) {
      const read = await core.evacuatedAt(stale);
      if (read !== null) expect(read).toContain('new');
      await core.world.advance(250);
    }
    core.world.healAll();
    expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3', 'h4', 'h5', 'h6']))).toBe(true);
    for (const n of core.nodes) expect(await core.evacuatedAt(n.name)).toEqual(['new']);
    expect(core.broken).toEqual([]);
  });
});

describe('orders while one is cut off, and right after', () => {
  // While it is cut off, the member is given orders that it can't have agreed: it holds them accepted by itself alone, and
  // outbids the others when it is back.
  test.each(SEEDS)(
    'each is confirmed within 5 s wherever it first goes; one given up is the same order later, or nothing (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, seed % 2 === 0 ? ['h1', 'h2', 'h3'] : FIVE);
      const names = core.nodes.map((n) => n.name);
      const lone = names[seed % names.length] as string;
      const others = names.filter((name) => name !== lone);
      await confirmed(core, lone, 'before', 1_500);
      core.cutOff([lone]);
      const givenUp: string[] = [];
      const from = core.world.now();
      for (let n = 0; core.world.now() - from < 20_000; n += 1) {
        const stale = core.order(lone, `alone-${n}`, 1_500);
        await confirmed(core, others[n % others.length] as string, `during-${n}`, 1_500);
        const refused = await stale;
        expect([refused.result?.ok, refused.tookMs < 1_600]).toEqual([false, true]);
        expect(await core.evacuatedAt(lone)).toBeNull();
        givenUp.push(`alone-${n}`);
        await core.world.advance(core.world.rng.next() * 2_000);
      }
      core.world.healAll();
      const first = others.map((name, i) => confirmed(core, name, `healed-${i}`, 1_500));
      await confirmed(core, lone, 'returned', 5_000);
      await Promise.all(first);
      const reads = new Set<string>();
      for (const name of names)
        reads.add((await core.evacuatedAt(name))?.filter((zone) => givenUp.includes(zone)).join() ?? 'refused');
      await core.world.advance(6_000);
      for (const name of names)
        reads.add((await core.evacuatedAt(name))?.filter((zone) => givenUp.includes(zone)).join() ?? 'refused');
      expect(reads.size).toBe(1);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'one that was replaced or left out meanwhile takes orders and reads at once when it is back (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, ['h1', 'h2', 'h3']);
      core.cutOff(['h2']);
      core.add('h4');
      cutBetween(core, ['h2'], ['h4']);
      core.start('h4');
      expect(await core.until(8_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      await confirmed(core, 'h4', 'during', 1_500);
      await core.world.advance(12_000);
      core.world.healAll();
      await core.world.advance(core.world.rng.next() * 1_500);
      await confirmed(core, 'h2', 'returned', 2_500);
      expect(await core.evacuatedAt('h2')).toEqual(['during', 'returned']);
      expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      expect(core.broken).toEqual([]);
    },
  );
});

describe('the lease while the members change', () => {
  const SEEDS_OF_LEASE = [...Array(24).keys()];
  const noList = { read: () => Promise.resolve(err({ tag: 'listSilent' as const })) };

  function holders(core: SimCore): string[] {
    return core.nodes.filter((n) => n.host.running && n.controller?.holdsScaler()).map((n) => n.name);
  }
  async function withLease(seed: number, names: readonly string[]): Promise<SimCore> {
    const core = createSimCore(seed, { controllers: names.length, seeds: 3, regionMs: 35, listReader: () => noList });
    core.startAll();
    expect(await core.until(6_000, () => core.whole(names))).toBe(true);
    expect(await core.until(20_000, () => holders(core).length === 1)).toBe(true);
    return core;
  }
  async function neverTwo(core: SimCore, ms: number): Promise<void> {
    for (const end = core.world.now() + ms; core.world.now() < end;) {
      await core.world.advance(20);
      expect(holders(core).length).toBeLessThanOrEqual(1);
    }
  }

  test.each(SEEDS_OF_LEASE)(
    'five of which the holder, which two no longer heard, and another are left out: never two holders (seed %i)',
    async (seed) => {
      const core = await withLease(seed, FIVE);
      const holder = holders(core)[0] as string;
      const others = FIVE.filter((name) => name !== holder);
      const second = others[seed % 4] as string;
      const rest = others.filter((name) => name !== second);
      cutBetween(core, [holder], rest.slice(1));
      await core.world.advance(8_000 + core.world.rng.next() * 1_000);
      expect(holders(core)).toEqual([holder]);
      cutBetween(core, [holder, second], rest);
      await neverTwo(core, 16_000);
      expect(holders(core)).toHaveLength(1);
      expect(core.members(holders(core)[0] as string)).toHaveLength(3);
    },
  );

  test.each(SEEDS_OF_LEASE)(
    'the holder, which one no longer heard, is replaced by one that waited: never two holders (seed %i)',
    async (seed) => {
      const core = await withLease(seed, ['h1', 'h2', 'h3']);
      const holder = holders(core)[0] as string;
      const others = ['h1', 'h2', 'h3'].filter((name) => name !== holder);
      core.add('h4');
      cutBetween(core, ['h4'], ['h1', 'h2', 'h3']);
      core.start('h4');
      cutBetween(core, [holder], others.slice(1));
      await core.world.advance(8_000 + core.world.rng.next() * 1_000);
      expect(holders(core)).toEqual([holder]);
      cutBetween(core, [holder], others);
      await core.world.advance(core.world.rng.next() * 3_000);
      for (const name of others) healBetween(core, 'h4', name);
      await neverTwo(core, 16_000);
      expect(holders(core)).toHaveLength(1);
    },
  );
});
