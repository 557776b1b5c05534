import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { Ordered, SimCore } from '../../sim/sim-core.js';

const HOW = ['killed', 'without power', 'frozen', 'cut off'] as const;
const THREE = ['h1', 'h2', 'h3'];
const FIVE = ['h1', 'h2', 'h3', 'h4', 'h5'];

async function bootstrapped(seed: number, names: readonly string[]): Promise<SimCore> {
  const core = createSimCore(seed, { controllers: names.length, seeds: 3, regionMs: 35 });
  core.startAll();
  expect(await core.until(4_000, () => core.whole(names))).toBe(true);
  expect((await core.order('h1', 'first')).result?.ok).toBe(true);
  await core.world.advance(1_500);
  return core;
}
function strike(core: SimCore, how: (typeof HOW)[number], name: string): void {
  if (how === 'killed') core.kill(name);
  else if (how === 'without power') core.powerLoss(name);
  else if (how === 'frozen') core.world.freeze(core.node(name).host);
  else core.cutOff([name]);
}
function recover(core: SimCore, how: (typeof HOW)[number], name: string): void {
  if (how === 'frozen') core.world.thaw(core.node(name).host);
  else if (how === 'cut off') core.world.healAll();
  else core.start(name);
}
function inTime(response: Ordered): void {
  expect(response.result).toMatchObject({ ok: true, value: { outcome: { tag: 'applied' } } });
  expect(response.tookMs).toBeLessThan(1_000);
}
async function readInTime(core: SimCore, name: string, zones: readonly string[]): Promise<void> {
  const from = core.world.now();
  expect(await core.evacuatedAt(name)).toEqual([...zones].sort());
  expect(core.world.now() - from).toBeLessThan(1_000);
}

describe.each(HOW)('one member %s', (how) => {
  test.each([0, 1, 2, 3, 4, 5])(
    'of three: an order and a reading at each other one take under a second, at once and later (seed %i)',
    async (seed) => {
      const core = await bootstrapped(500 + seed, THREE);
      const victim = THREE[seed % 3] as string;
      const others = THREE.filter((n) => n !== victim);
      inTime(await core.order(victim, 'last'));
      strike(core, how, victim);
      const zones = ['first', 'last'];
      for (const wait of [0, 700, 1_500, 3_000]) {
        await core.world.advance(wait);
        for (const name of others) {
          inTime(await core.order(name, `${name}-${wait}`));
          zones.push(`${name}-${wait}`);
          await readInTime(core, others[0] as string, zones);
        }
      }
      recover(core, how, victim);
      await core.until(2_000, () => core.node(victim).controller !== null);
      if (how !== 'frozen' && how !== 'cut off') {
        inTime(await core.order(victim, 'back'));
        zones.push('back');
      }
      await core.world.advance(1_500);
      inTime(await core.order(victim, 'again'));
      await readInTime(core, victim, [...zones, 'again']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each([0, 1, 2])('of three, struck while it proposes (seed %i)', async (seed) => {
    for (let ms = 10; ms < 260; ms += 25) {
      const core = await bootstrapped(600 + seed, THREE);
      void core
        .node('h1')
        .controller?.ledger.propose(
          { id: 'order-half', cause: 'A test.', act: { tag: 'evacuation', zone: 'half', begun: true } },
          1_500,
        );
      await core.world.advance(ms);
      strike(core, how, 'h1');
      for (const name of ['h2', 'h3', 'h2']) inTime(await core.order(name, `${name}-${core.world.now()}`));
      expect(core.broken).toEqual([]);
    }
  });

  test.each([0, 1, 2])('two of five (seed %i)', async (seed) => {
    const core = await bootstrapped(700 + seed, FIVE);
    const victims = [FIVE[seed] as string, FIVE[seed + 2] as string];
    if (how === 'cut off') core.cutOff(victims);
    else for (const v of victims) strike(core, how, v);
    for (const name of FIVE) if (!victims.includes(name)) inTime(await core.order(name, name));
    expect(core.broken).toEqual([]);
  });
});

describe('several at once', () => {
  test.each([...Array(12).keys()])(
    'orders at all three at the same moment are all taken within a second (seed %i)',
    async (seed) => {
      const core = await bootstrapped(800 + seed, THREE);
      const all: Promise<unknown>[] = [];
      const took: number[] = [];
      for (const name of THREE) {
        const from = core.world.now();
        const made = core
          .node(name)
          .controller?.ledger.propose(
            { id: name, cause: 'A test.', act: { tag: 'evacuation', zone: name, begun: true } },
            1_500,
          );
        all.push(Promise.resolve(made).then((r) => (took.push(core.world.now() - from), r)));
      }
      expect(await core.finish(Promise.all(all), 5_000)).toEqual(
        THREE.map(() => expect.objectContaining({ ok: true })),
      );
      expect(Math.max(...took)).toBeLessThan(1_000);
      expect(core.broken).toEqual([]);
    },
  );

  test('without a majority an order is told so within its own wait, however many wait', async () => {
    const core = await bootstrapped(900, THREE);
    core.powerLoss('h2');
    core.powerLoss('h3');
    const from = core.world.now();
    const ends: number[] = [];
    const all = [0, 1, 2, 3].map(async (n) => {
      await core.finish(Promise.resolve(), 1);
      const response = await core
        .node('h1')
        .controller?.ledger.propose(
          { cause: 'A test.', act: { tag: 'evacuation', zone: `z${n}`, begun: true } },
          1_500,
        );
      ends.push(core.world.now() - from);
      return response?.ok;
    });
    expect(await core.finish(Promise.all(all), 10_000)).toEqual([false, false, false, false]);
    expect(Math.max(...ends)).toBeLessThanOrEqual(1_600);
  });
});
