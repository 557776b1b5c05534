import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';

const ACK_WITHIN_MS = 5_000;
const MOMENTS = [...Array(40).keys()];

async function createBootstrappedCore(seed: number, names: readonly string[]): Promise<SimCore> {
  const core = createSimCore(seed, { controllers: names.length, seeds: 3, regionMs: 35 });
  core.startAll();
  expect(await core.until(6_000, () => core.whole(names))).toBe(true);
  return core;
}

async function expectOrderConfirmed(core: SimCore, at: string, zone: string): Promise<void> {
  const startedAt = core.world.now();
  while (core.world.now() - startedAt < ACK_WITHIN_MS) {
    const response = await core.order(at, zone, ACK_WITHIN_MS - (core.world.now() - startedAt));
    if (response.result?.ok) {
      expect(response.result.value.outcome.tag).toBe('applied');
      return;
    }
    await core.world.advance(50);
  }
  expect(`${at} within ${ACK_WITHIN_MS} ms of ${Math.round(startedAt)}`).toBe('an order confirmed');
}

async function expectOrdersAt(core: SimCore, names: readonly string[], zones: readonly string[]): Promise<void> {
  for (const name of names) expect(await core.readEvacuatedZones(name)).toEqual(zones);
}

// Guards against a repair that loses confirmed orders if power fails during it. Power is lost at some 40 moments, a few
// ms apart, during a repair and the first writes after it; the simulated disk then has torn and unsynced writes.
// Afterwards all confirmed orders have to be there, and one further loss has to be tolerated.
describe('power loss at any time during a repair', () => {
  test.each(MOMENTS)('of the controller that joins and is learning the complete state (moment %i)', async (moment) => {
    const core = await createBootstrappedCore(100 + moment, ['h1', 'h2', 'h3']);
    await expectOrderConfirmed(core, 'h1', 'a');
    core.powerLoss('h2');
    await core.world.advance(3_000);
    core.addNode('h4');
    core.start('h4');
    await core.world.advance(15 * moment);
    core.powerLoss('h4');
    await expectOrderConfirmed(core, 'h3', 'b');
    core.start('h4');
    expect(await core.until(8_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
    core.powerLoss(moment % 2 === 0 ? 'h1' : 'h3');
    const remaining = [moment % 2 === 0 ? 'h3' : 'h1', 'h4'];
    await expectOrderConfirmed(core, 'h4', 'c');
    await expectOrdersAt(core, remaining, ['a', 'b', 'c']);
    expect(core.broken).toEqual([]);
  });

  test.each(MOMENTS)(
    'of all controllers at once, while one joins as the replacement of another (moment %i)',
    async (moment) => {
      const core = await createBootstrappedCore(200 + moment, ['h1', 'h2', 'h3']);
      await expectOrderConfirmed(core, 'h1', 'a');
      core.powerLoss('h2');
      await core.world.advance(3_000);
      core.addNode('h4');
      core.start('h4');
      await core.world.advance(500 + 8 * moment);
      for (const name of ['h1', 'h3', 'h4']) core.powerLoss(name);
      for (const name of ['h1', 'h3', 'h4']) core.start(name);
      await core.until(1_000, () => core.node('h1').controller !== null);
      await expectOrderConfirmed(core, 'h1', 'b');
      expect(await core.until(8_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      core.powerLoss('h1');
      core.wipe('h1');
      await expectOrderConfirmed(core, 'h3', 'c');
      await expectOrdersAt(core, ['h3', 'h4'], ['a', 'b', 'c']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(MOMENTS)(
    'of one or all remaining members of four that are removing a dead one (moment %i)',
    async (moment) => {
      const core = await createBootstrappedCore(300 + moment, ['h1', 'h2', 'h3']);
      core.addNode('h4');
      core.start('h4');
      expect(await core.until(6_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
      await expectOrderConfirmed(core, 'h4', 'a');
      core.powerLoss('h2');
      core.wipe('h2');
      await core.world.advance(2_900 + 25 * moment);
      const restarted = moment % 2 === 0 ? ['h1', 'h3', 'h4'] : [['h1', 'h3', 'h4'][moment % 3] as string];
      for (const name of restarted) core.powerLoss(name);
      for (const name of restarted) core.start(name);
      await core.until(1_000, () => core.node(restarted[0] as string).controller !== null);
      await expectOrderConfirmed(core, 'h4', 'b');
      expect(await core.until(8_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
      core.powerLoss('h3');
      await expectOrderConfirmed(core, 'h1', 'c');
      await expectOrdersAt(core, ['h1', 'h4'], ['a', 'b', 'c']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each(MOMENTS)('of another member, while a lost disk is being refilled (moment %i)', async (moment) => {
    const core = await createBootstrappedCore(400 + moment, ['h1', 'h2', 'h3']);
    await expectOrderConfirmed(core, 'h2', 'a');
    core.powerLoss('h2');
    core.wipe('h2');
    core.start('h2');
    await core.world.advance(10 * moment);
    const restarted = moment % 2 === 0 ? 'h1' : 'h3';
    core.powerLoss(restarted);
    core.start(restarted);
    await core.until(1_000, () => core.node(restarted).controller !== null);
    await expectOrderConfirmed(core, 'h2', 'b');
    expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3']))).toBe(true);
    core.powerLoss(restarted);
    core.wipe(restarted);
    await expectOrderConfirmed(core, 'h2', 'c');
    await expectOrdersAt(core, ['h2'], ['a', 'b', 'c']);
    expect(core.broken).toEqual([]);
  });
});
