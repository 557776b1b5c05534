import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Maximum time until the others have removed a member that announced its shutdown. */
const REMOVAL_TIMEOUT_MS = 3_000;

async function createCoreOfThree(seed: number): Promise<SimCore> {
  const core = createSimCore(seed);
  core.startAll();
  expect(await core.until(4_000, () => core.whole(['h1', 'h2', 'h3']))).toBe(true);
  return core;
}
async function createCoreOfFour(seed: number): Promise<SimCore> {
  const core = await createCoreOfThree(seed);
  core.addNode('h4');
  core.start('h4');
  expect(await core.until(6_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
  return core;
}
function cutBothWays(core: SimCore, left: string, right: string): void {
  core.world.cut(left, right);
  core.world.cut(right, left);
}

describe('a controller that is shut down', () => {
  // Guards against a leaving member that joins again under a new identity, through the periodic membership step of its
  // own ledger.
  test.each(SEEDS)(
    'does not join again while it hands over to members that it cannot reach (seed %i)',
    async (seed) => {
      const core = await createCoreOfFour(seed);
      const leaving = core.stop('h2');
      expect(await core.until(1_000, () => core.members('h1').length === 3)).toBe(true);
      cutBothWays(core, 'h2', 'h3');
      cutBothWays(core, 'h2', 'h4');
      await leaving;
      await core.world.advance(100);
      expect(core.members('h1')).toEqual(['h1', 'h3', 'h4']);
      expect(core.broken).toEqual([]);
    },
  );

  // Guards against a leave that is abandoned because no majority responds for a while.
  test.each(SEEDS)('leaves a group of four even if no majority responds for 2.5 s (seed %i)', async (seed) => {
    const core = await createCoreOfFour(seed);
    core.isolate(['h1', 'h2']);
    const leaving = core.stop('h2');
    await core.world.advance(2_500);
    core.world.healAll();
    await leaving;
    expect(await core.until(1_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
    expect(core.broken).toEqual([]);
  });

  // Guards against a group of four with one dead member: the leaving one of three stays a member because the group is
  // odd, while a fourth is about to be admitted.
  test.each(SEEDS)('makes room for a fourth that is being admitted (seed %i)', async (seed) => {
    const core = await createCoreOfThree(seed);
    core.addNode('h4');
    core.start('h4');
    expect(await core.until(4_000, () => core.members('h4').length === 3)).toBe(true);
    await core.world.advance(15 * seed);
    await core.stop('h2');
    expect(await core.until(REMOVAL_TIMEOUT_MS, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
    core.powerLoss('h3');
    expect((await core.order('h1', 'a')).result).toMatchObject({ ok: true });
    expect(core.broken).toEqual([]);
  });

  // Guards against a group of four with one dead member: a controller requested admission and stopped before it was
  // admitted.
  test.each(SEEDS)('while it is being admitted itself, does not remain a member (seed %i)', async (seed) => {
    const core = await createCoreOfThree(seed);
    core.addNode('h4');
    core.start('h4');
    expect(await core.until(4_000, () => core.members('h4').length === 3)).toBe(true);
    await core.world.advance(15 * seed);
    await core.stop('h4');
    await core.world.advance(500);
    expect(core.members('h1')).toEqual(['h1', 'h2', 'h3']);
    expect(core.broken).toEqual([]);
  });

  test('as the only member waits for no other', async () => {
    const core = createSimCore(1, { controllers: 1, seeds: 1, regionMs: 35 });
    core.startAll();
    expect(await core.until(4_000, () => core.whole(['h1']))).toBe(true);
    const startedAt = core.world.now();
    await core.stop('h1');
    expect(core.world.now() - startedAt).toBeLessThan(100);
  });

  test('hands over to a majority without waiting for a dead member', async () => {
    const core = await createCoreOfFour(1);
    core.powerLoss('h3');
    const startedAt = core.world.now();
    await core.stop('h2');
    expect(core.world.now() - startedAt).toBeLessThan(500);
    expect(core.members('h1')).toEqual(['h1', 'h3', 'h4']);
  });
});
