import { describe, expect, test } from '@jest/globals';
import { createPeers } from '../messaging/peers.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { createQuietLog } from '../../transport/log.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const FIVE = { controllers: 5, seeds: 3, regionMs: 35 };

async function bootstrapped(
  seed: number,
  names: readonly string[],
  shape = { controllers: names.length, seeds: 3, regionMs: 35 },
): Promise<SimCore> {
  const core = createSimCore(seed, shape);
  core.startAll();
  expect(await core.until(4_000, () => core.whole(names))).toBe(true);
  return core;
}
async function ordered(core: SimCore, name: string, zone: string): Promise<void> {
  const response = await core.order(name, zone);
  expect([response.result, response.tookMs]).toMatchObject([
    { ok: true, value: { outcome: { tag: 'applied' } } },
    expect.any(Number),
  ]);
  expect(response.tookMs).toBeLessThan(1_000);
}
function identity(core: SimCore, name: string): string {
  return core.node(name).controller?.ledger.self.incarnation ?? '';
}

describe('the members of the core', () => {
  test.each(SEEDS)(
    'five controllers of which three are seeds: all five are members within 4 s (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, ['h1', 'h2', 'h3', 'h4', 'h5'], FIVE);
      await ordered(core, 'h5', 'a');
      for (const n of core.nodes) expect(await core.evacuatedAt(n.name)).toEqual(['a']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)('one is gone for good, then a new machine comes: it takes its place (seed %i)', async (seed) => {
    const core = await bootstrapped(seed, ['h1', 'h2', 'h3']);
    await ordered(core, 'h1', 'a');
    core.powerLoss('h2');
    await core.world.advance(core.world.rng.next() * 4_000);
    core.add('h4');
    core.start('h4');
    expect(await core.until(5_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
    core.kill('h1');
    await ordered(core, 'h4', 'b');
    expect(await core.evacuatedAt('h3')).toEqual(['a', 'b']);
    expect(core.broken).toEqual([]);
  });

  test.each(SEEDS)(
    'a planned replacement: the new one comes, then the old one is told to end (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, ['h1', 'h2', 'h3']);
      core.add('h4');
      core.start('h4');
      expect(await core.until(4_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      await ordered(core, 'h4', 'a');
      await core.end('h2');
      expect(await core.until(500, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      core.kill('h3');
      await ordered(core, 'h1', 'b');
      expect(await core.evacuatedAt('h4')).toEqual(['a', 'b']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'of four, one that dies without a word is shed after 3 s; three never shrink (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, ['h1', 'h2', 'h3']);
      core.add('h4');
      core.start('h4');
      expect(await core.until(4_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      await core.world.advance(8_000);
      expect(core.members('h1')).toEqual(['h1', 'h2', 'h3', 'h4']);
      core.powerLoss('h2');
      await core.world.advance(2_400);
      expect(core.members('h1')).toEqual(['h1', 'h2', 'h3', 'h4']);
      expect(await core.until(3_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      core.kill('h1');
      await core.world.advance(20_000);
      expect(core.members('h3')).toEqual(['h1', 'h3', 'h4']);
      await ordered(core, 'h3', 'a');
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'one whose place was taken while it was cut off joins anew, under a new identity (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, ['h1', 'h2', 'h3']);
      const before = identity(core, 'h2');
      core.cutOff(['h2']);
      core.add('h4');
      core.world.cut('h4', 'h2');
      core.world.cut('h2', 'h4');
      core.start('h4');
      expect(await core.until(5_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      await ordered(core, 'h4', 'a');
      const alone = await core.order('h2', 'lost');
      expect(alone.result).toMatchObject({ ok: false, error: { tag: 'noMajority' } });
      expect(alone.tookMs).toBeLessThanOrEqual(1_500);
      core.world.healAll();
      expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      expect(identity(core, 'h2')).not.toBe(before);
      expect(await core.evacuatedAt('h2')).toEqual(['a']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'one that ends after it caught up, while its joining is agreed, keeps its identity (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, ['h1', 'h2', 'h3']);
      await ordered(core, 'h1', 'a');
      core.add('h4');
      core.start('h4');
      expect(await core.until(4_000, () => core.members('h4').length === 3)).toBe(true);
      await core.world.advance(60);
      expect(core.members('h1')).toEqual(['h1', 'h2', 'h3']);
      const before = identity(core, 'h4');
      if (seed % 2 === 0) core.kill('h4');
      else core.powerLoss('h4');
      core.start('h4');
      expect(await core.until(5_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      expect(identity(core, 'h4')).toBe(before);
      core.powerLoss('h2');
      await core.world.advance(100);
      await ordered(core, 'h1', 'b');
      expect(await core.evacuatedAt('h4')).toEqual(['a', 'b']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)('a joiner has no vote before it has learned that it is a member (seed %i)', async (seed) => {
    const core = await bootstrapped(seed, ['h1', 'h2', 'h3']);
    await ordered(core, 'h1', 'a');
    const lab = core.lab('lab');
    const peers = createPeers(lab.wire, lab.clock, createQuietLog().component('lab'));
    core.add('h4');
    for (const name of ['h1', 'h2', 'h3']) {
      core.world.cut(name, 'h4');
      core.world.cut('h4', name);
    }
    core.start('h4');
    await core.world.advance(500);
    for (const ledger of [core.node('h1').controller?.ledger.controlState().ledger ?? '', 'ledger-x']) {
      const response = await core.finish(
        peers.call(core.node('h4').wire, { kind: 'prepare', ledger, slot: 1, ballot: { round: 9, by: 'lab' } }, 1_000),
        2_000,
      );
      expect(response).toEqual({ ok: true, value: { kind: 'cannotVote' } });
    }
    core.world.healAll();
    expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
  });
});

describe('disks lost right after an acknowledgement', () => {
  test.each([...Array(24).keys()])('one of three, sometimes while the others lose power (seed %i)', async (seed) => {
    const core = await bootstrapped(300 + seed, ['h1', 'h2', 'h3']);
    const at = ['h1', 'h2', 'h3'][seed % 3] as string;
    const lost = ['h1', 'h2', 'h3'][Math.floor(seed / 3) % 3] as string;
    await ordered(core, at, 'a');
    for (const n of core.nodes) if (seed % 2 === 0 || n.name === lost) core.powerLoss(n.name);
    core.wipe(lost);
    await core.world.advance(core.world.rng.next() * 3_000);
    core.startAll();
    const from = core.world.now();
    await core.until(
      4_000,
      () =>
        core.node('h1').controller !== null &&
        core.node('h2').controller !== null &&
        core.node('h3').controller !== null,
    );
    let taken = false;
    for (let n = 0; !taken && core.world.now() - from < 4_000; n += 1)
      taken = (await core.order(['h1', 'h2', 'h3'][n % 3] as string, 'b')).result?.ok === true;
    expect(taken).toBe(true);
    expect(await core.until(4_000, () => core.whole(['h1', 'h2', 'h3']))).toBe(true);
    for (const n of core.nodes) expect(await core.evacuatedAt(n.name)).toEqual(['a', 'b']);
    expect(core.broken).toEqual([]);
  });

  test.each([...Array(24).keys()])('two of five, sometimes while the others lose power (seed %i)', async (seed) => {
    const all = ['h1', 'h2', 'h3', 'h4', 'h5'];
    const core = await bootstrapped(400 + seed, all, FIVE);
    const at = all[seed % 5] as string;
    await ordered(core, at, 'a');
    const lost = [all[Math.floor(seed / 5) % 5] as string, all[(Math.floor(seed / 5) + 1 + (seed % 4)) % 5] as string];
    for (const n of core.nodes) if (seed % 2 === 0 || lost.includes(n.name)) core.powerLoss(n.name);
    for (const name of lost) core.wipe(name);
    await core.world.advance(core.world.rng.next() * 3_000);
    core.startAll();
    const from = core.world.now();
    let taken = false;
    for (let n = 0; !taken && core.world.now() - from < 4_000; n += 1) {
      taken = (await core.order(all[n % 5] as string, 'b')).result?.ok === true;
      await core.world.advance(50);
    }
    expect(taken).toBe(true);
    expect(await core.until(6_000, () => core.whole(all))).toBe(true);
    for (const n of core.nodes) expect(await core.evacuatedAt(n.name)).toEqual(['a', 'b']);
    expect(core.broken).toEqual([]);
  });
});
