import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';

const ACK_WITHIN_MS = 5_000;
const MOMENTS = [...Array(40).keys()];

async function bootstrapped(seed: number, names: readonly string[]): Promise<SimCore> {
  const core = createSimCore(seed, { controllers: names.length, seeds: 3, regionMs: 35 });
  core.startAll();
  expect(await core.until(6_000, () => core.whole(names))).toBe(true);
  return core;
}

async function confirmed(core: SimCore, at: string, zone: string): Promise<void> {
  const from = core.world.now();
  while (core.world.now() - from < ACK_WITHIN_MS) {
    const response = await core.order(at, zone, ACK_WITHIN_MS - (core.world.now() - from));
    if (response.result?.ok) {
      expect(response.result.value.outcome.tag).toBe('applied');
      return;
    }
    await core.world.advance(50);
  }
  expect(`${at} within ${ACK_WITHIN_MS} ms of ${Math.round(from)}`).toBe('an order confirmed');
}

async function readBack(core: SimCore, names: readonly string[], zones: readonly string[]): Promise<void> {
  for (const name of names) expect(await core.evacuatedAt(name)).toEqual(zones);
}

// Power is lost at some 40 moments of a repair, a few ms apart, and of the first writes after it: with the torn and unsynced
// writes that the simulated disk leaves then. Afterwards all that was confirmed is there, and one further loss is borne.
describe('power lost at each moment of a repair', () => {
  test.each(MOMENTS)('of the one that joins, and learns the whole state (moment %i)', async (moment) => {
    const core = await bootstrapped(100 + moment, ['h1', 'h2', 'h3']);
    await confirmed(core, 'h1', 'a');
    core.powerLoss('h2');
    await core.world.advance(3_000);
    core.add('h4');
    core.start('h4');
    await core.world.advance(15 * moment);
    core.powerLoss('h4');
    await confirmed(core, 'h3', 'b');
    core.start('h4');
    expect(await core.until(8_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
    core.powerLoss(moment % 2 === 0 ? 'h1' : 'h3');
    const left = [moment % 2 === 0 ? 'h3' : 'h1', 'h4'];
    await confirmed(core, 'h4', 'c');
    await readBack(core, left, ['a', 'b', 'c']);
    expect(core.broken).toEqual([]);
  });

  test.each(MOMENTS)('of all at once, while one joins in the place of another (moment %i)', async (moment) => {
    const core = await bootstrapped(200 + moment, ['h1', 'h2', 'h3']);
    await confirmed(core, 'h1', 'a');
    core.powerLoss('h2');
    await core.world.advance(3_000);
    core.add('h4');
    core.start('h4');
    await core.world.advance(500 + 8 * moment);
    for (const name of ['h1', 'h3', 'h4']) core.powerLoss(name);
    for (const name of ['h1', 'h3', 'h4']) core.start(name);
    await core.until(1_000, () => core.node('h1').controller !== null);
    await confirmed(core, 'h1', 'b');
    expect(await core.until(8_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
    core.powerLoss('h1');
    core.wipe('h1');
    await confirmed(core, 'h3', 'c');
    await readBack(core, ['h3', 'h4'], ['a', 'b', 'c']);
    expect(core.broken).toEqual([]);
  });

  test.each(MOMENTS)('of one or all of four that leave a dead one out (moment %i)', async (moment) => {
    const core = await bootstrapped(300 + moment, ['h1', 'h2', 'h3']);
    core.add('h4');
    core.start('h4');
    expect(await core.until(6_000, () => core.whole(['h1', 'h2', 'h3', 'h4']))).toBe(true);
    await confirmed(core, 'h4', 'a');
    core.powerLoss('h2');
    core.wipe('h2');
    await core.world.advance(2_900 + 25 * moment);
    const struck = moment % 2 === 0 ? ['h1', 'h3', 'h4'] : [['h1', 'h3', 'h4'][moment % 3] as string];
    for (const name of struck) core.powerLoss(name);
    for (const name of struck) core.start(name);
    await core.until(1_000, () => core.node(struck[0] as string).controller !== null);
    await confirmed(core, 'h4', 'b');
    expect(await core.until(8_000, () => core.whole(['h1', 'h3', 'h4']))).toBe(true);
    core.powerLoss('h3');
    await confirmed(core, 'h1', 'c');
    await readBack(core, ['h1', 'h4'], ['a', 'b', 'c']);
    expect(core.broken).toEqual([]);
  });

  test.each(MOMENTS)('of the others, while a disk that was lost is filled anew (moment %i)', async (moment) => {
    const core = await bootstrapped(400 + moment, ['h1', 'h2', 'h3']);
    await confirmed(core, 'h2', 'a');
    core.powerLoss('h2');
    core.wipe('h2');
    core.start('h2');
    await core.world.advance(10 * moment);
    const struck = moment % 2 === 0 ? 'h1' : 'h3';
    core.powerLoss(struck);
    core.start(struck);
    await core.until(1_000, () => core.node(struck).controller !== null);
    await confirmed(core, 'h2', 'b');
    expect(await core.until(8_000, () => core.whole(['h1', 'h2', 'h3']))).toBe(true);
    core.powerLoss(struck);
    core.wipe(struck);
    await confirmed(core, 'h2', 'c');
    await readBack(core, ['h2'], ['a', 'b', 'c']);
    expect(core.broken).toEqual([]);
  });
});
