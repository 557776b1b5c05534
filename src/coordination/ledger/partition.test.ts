import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const FIVE = ['h1', 'h2', 'h3', 'h4', 'h5'];

async function bootstrapped(seed: number, names: readonly string[]): Promise<SimCore> {
  const core = createSimCore(seed, { headgates: names.length, seeds: 3, regionMs: 35 });
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
  const got = await core.order(at, zone, withinMs);
  expect([at, zone, got.result, got.tookMs]).toMatchObject([at, zone, { ok: true, value: { outcome: { tag: 'applied' } } }, expect.any(Number)]);
  expect(got.tookMs).toBeLessThan(withinMs);
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
    expect(await core.until(8_000, () => core.members('h6').includes('h6') && core.members('h5').includes('h6'))).toBe(true);
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
