import { describe, expect, test } from '@jest/globals';
import { createPeers } from '../messaging/peers.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { createQuietLog } from '../../transport/log.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const FIVE = { controllers: 5, seeds: 3, regionMs: 35 };

async function createBootstrappedCore(
  seed: number,
  names: readonly string[],
  shape = { controllers: names.length, seeds: 3, regionMs: 35 },
): Promise<SimCore> {
  const core = createSimCore(seed, shape);
  core.startAll();
  expect(await core.until(4_000, () => core.whole(names))).toBe(true);
  return core;
}
async function expectOrderApplied(core: SimCore, name: string, zone: string): Promise<void> {
  const response = await core.order(name, zone);
  expect([response.result, response.tookMs]).toMatchObject([
    { ok: true, value: { outcome: { tag: 'applied' } } },
    expect.any(Number),
  ]);
  expect(response.tookMs).toBeLessThan(1_000);
}
function incarnationOf(core: SimCore, name: string): string {
  return core.node(name).controller?.ledger.self.incarnation ?? '';
}

describe('the members of the core', () => {
  test.each(SEEDS)(
    'five controllers of which three are seeds: all five are members within 4 s (seed %i)',
    async (seed) => {
      const core = await createBootstrappedCore(seed, ['h1', 'h2', 'h3', 'h4', 'h5'], FIVE);
      await expectOrderApplied(core, 'h5', 'a');
      for (const n of core.nodes) expect(await core.readEvacuatedZones(n.name)).toEqual(['a']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)('a member is lost for good, then a new machine joins and replaces it (seed %i)', async (seed) => {
    const core = await createBootstrappedCore(seed, ['h1', 'h2', 'h3']);
    await expectOrderApplied(core, 'h1', 'a');
    core.powerLoss('h2');
    await core.world.advance(core.world.rng.next() * 4_000);
    core.addNode('h4');
    core.start('h4');
    expect(await core.until(5_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
    core.kill('h1');
    await expectOrderApplied(core, 'h4', 'b');
    expect(await core.readEvacuatedZones('h3')).toEqual(['a', 'b']);
    expect(core.broken).toEqual([]);
  });

  test.each(SEEDS)(
    'a planned replacement: the new machine joins, then the old one is shut down (seed %i)',
    async (seed) => {
      const core = await createBootstrappedCore(seed, ['h1', 'h2', 'h3']);
      core.addNode('h4');
      core.start('h4');
      expect(await core.until(4_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      await expectOrderApplied(core, 'h4', 'a');
      await core.stop('h2');
      expect(await core.until(500, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      core.kill('h3');
      await expectOrderApplied(core, 'h1', 'b');
      expect(await core.readEvacuatedZones('h4')).toEqual(['a', 'b']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'of four, a member that dies without announcing it is removed after 3 s; three are never reduced (seed %i)',
    async (seed) => {
      const core = await createBootstrappedCore(seed, ['h1', 'h2', 'h3']);
      core.addNode('h4');
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
      await expectOrderApplied(core, 'h3', 'a');
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'a member replaced while it was partitioned joins again under a new identity (seed %i)',
    async (seed) => {
      const core = await createBootstrappedCore(seed, ['h1', 'h2', 'h3']);
      const previousIncarnation = incarnationOf(core, 'h2');
      core.isolate(['h2']);
      core.addNode('h4');
      core.world.cut('h4', 'h2');
      core.world.cut('h2', 'h4');
      core.start('h4');
      expect(await core.until(5_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      await expectOrderApplied(core, 'h4', 'a');
      const response = await core.order('h2', 'lost');
      expect(response.result).toMatchObject({ ok: false, error: { tag: 'noMajority' } });
      expect(response.tookMs).toBeLessThanOrEqual(1_500);
      core.world.healAll();
      expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      expect(incarnationOf(core, 'h2')).not.toBe(previousIncarnation);
      expect(await core.readEvacuatedZones('h2')).toEqual(['a']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'a controller that stops after it caught up, while its admission is being agreed, keeps its identity (seed %i)',
    async (seed) => {
      const core = await createBootstrappedCore(seed, ['h1', 'h2', 'h3']);
      await expectOrderApplied(core, 'h1', 'a');
      core.addNode('h4');
      core.start('h4');
      expect(await core.until(4_000, () => core.members('h4').length === 3)).toBe(true);
      await core.world.advance(60);
      expect(core.members('h1')).toEqual(['h1', 'h2', 'h3']);
      const previousIncarnation = incarnationOf(core, 'h4');
      if (seed % 2 === 0) core.kill('h4');
      else core.powerLoss('h4');
      core.start('h4');
      expect(await core.until(5_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      expect(incarnationOf(core, 'h4')).toBe(previousIncarnation);
      core.powerLoss('h2');
      await core.world.advance(100);
      await expectOrderApplied(core, 'h1', 'b');
      expect(await core.readEvacuatedZones('h4')).toEqual(['a', 'b']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(SEEDS)(
    'a joining controller has no vote before it has learned that it is a member (seed %i)',
    async (seed) => {
      const core = await createBootstrappedCore(seed, ['h1', 'h2', 'h3']);
      await expectOrderApplied(core, 'h1', 'a');
      const lab = core.lab('lab');
      const peers = createPeers(lab.wire, lab.clock, createQuietLog().component('lab'));
      core.addNode('h4');
      for (const name of ['h1', 'h2', 'h3']) {
        core.world.cut(name, 'h4');
        core.world.cut('h4', name);
      }
      core.start('h4');
      await core.world.advance(500);
      for (const ledger of [core.node('h1').controller?.ledger.controlState().ledger ?? '', 'ledger-x']) {
        const response = await core.runUntilSettled(
          peers.call(
            core.node('h4').wire,
            { kind: 'prepare', ledger, slot: 1, ballot: { round: 9, by: 'lab' } },
            1_000,
          ),
          2_000,
        );
        expect(response).toEqual({ ok: true, value: { kind: 'cannotVote' } });
      }
      core.world.healAll();
      expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
    },
  );
});

describe('disks lost right after an acknowledgement', () => {
  test.each([...Array(24).keys()])('one of three, sometimes while the others lose power (seed %i)', async (seed) => {
    const core = await createBootstrappedCore(300 + seed, ['h1', 'h2', 'h3']);
    const orderedAt = ['h1', 'h2', 'h3'][seed % 3] as string;
    const lost = ['h1', 'h2', 'h3'][Math.floor(seed / 3) % 3] as string;
    await expectOrderApplied(core, orderedAt, 'a');
    for (const n of core.nodes) if (seed % 2 === 0 || n.name === lost) core.powerLoss(n.name);
    core.wipe(lost);
    await core.world.advance(core.world.rng.next() * 3_000);
    core.startAll();
    const startedAt = core.world.now();
    await core.until(
      4_000,
      () =>
        core.node('h1').controller !== null &&
        core.node('h2').controller !== null &&
        core.node('h3').controller !== null,
    );
    let isApplied = false;
    for (let n = 0; !isApplied && core.world.now() - startedAt < 4_000; n += 1)
      isApplied = (await core.order(['h1', 'h2', 'h3'][n % 3] as string, 'b')).result?.ok === true;
    expect(isApplied).toBe(true);
    expect(await core.until(4_000, () => core.whole(['h1', 'h2', 'h3']))).toBe(true);
    for (const n of core.nodes) expect(await core.readEvacuatedZones(n.name)).toEqual(['a', 'b']);
    expect(core.broken).toEqual([]);
  });

  test.each([...Array(24).keys()])('two of five, sometimes while the others lose power (seed %i)', async (seed) => {
    const all = ['h1', 'h2', 'h3', 'h4', 'h5'];
    const core = await createBootstrappedCore(400 + seed, all, FIVE);
    const orderedAt = all[seed % 5] as string;
    await expectOrderApplied(core, orderedAt, 'a');
    const lost = [all[Math.floor(seed / 5) % 5] as string, all[(Math.floor(seed / 5) + 1 + (seed % 4)) % 5] as string];
    for (const n of core.nodes) if (seed % 2 === 0 || lost.includes(n.name)) core.powerLoss(n.name);
    for (const name of lost) core.wipe(name);
    await core.world.advance(core.world.rng.next() * 3_000);
    core.startAll();
    const startedAt = core.world.now();
    let isApplied = false;
    for (let n = 0; !isApplied && core.world.now() - startedAt < 4_000; n += 1) {
      isApplied = (await core.order(all[n % 5] as string, 'b')).result?.ok === true;
      await core.world.advance(50);
    }
    expect(isApplied).toBe(true);
    expect(await core.until(6_000, () => core.whole(all))).toBe(true);
    for (const n of core.nodes) expect(await core.readEvacuatedZones(n.name)).toEqual(['a', 'b']);
    expect(core.broken).toEqual([]);
  });
});
