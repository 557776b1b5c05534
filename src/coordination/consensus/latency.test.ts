import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { EvacuationResult, SimCore } from '../../sim/sim-core.js';

const FAILURES = ['killed', 'without power', 'frozen', 'partitioned'] as const;
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
function injectFailure(core: SimCore, failure: (typeof FAILURES)[number], name: string): void {
  if (failure === 'killed') core.kill(name);
  else if (failure === 'without power') core.powerLoss(name);
  else if (failure === 'frozen') core.world.freeze(core.node(name).host);
  else core.isolate([name]);
}
function recover(core: SimCore, failure: (typeof FAILURES)[number], name: string): void {
  if (failure === 'frozen') core.world.thaw(core.node(name).host);
  else if (failure === 'partitioned') core.world.healAll();
  else core.start(name);
}
function expectAppliedInTime(response: EvacuationResult): void {
  expect(response.result).toMatchObject({ ok: true, value: { outcome: { tag: 'applied' } } });
  expect(response.tookMs).toBeLessThan(1_000);
}
async function expectReadInTime(core: SimCore, name: string, zones: readonly string[]): Promise<void> {
  const from = core.world.now();
  expect(await core.readEvacuatedZones(name)).toEqual([...zones].sort());
  expect(core.world.now() - from).toBeLessThan(1_000);
}

describe.each(FAILURES)('one member %s', (failure) => {
  test.each([0, 1, 2, 3, 4, 5])(
    'of three: an order and a read at each remaining one take less than a second, immediately and later (seed %i)',
    async (seed) => {
      const core = await bootstrapped(500 + seed, THREE);
      const victim = THREE[seed % 3] as string;
      const others = THREE.filter((n) => n !== victim);
      expectAppliedInTime(await core.order(victim, 'last'));
      injectFailure(core, failure, victim);
      const zones = ['first', 'last'];
      for (const waitMs of [0, 700, 1_500, 3_000]) {
        await core.world.advance(waitMs);
        for (const name of others) {
          expectAppliedInTime(await core.order(name, `${name}-${waitMs}`));
          zones.push(`${name}-${waitMs}`);
          await expectReadInTime(core, others[0] as string, zones);
        }
      }
      recover(core, failure, victim);
      await core.until(2_000, () => core.node(victim).controller !== null);
      if (failure !== 'frozen' && failure !== 'partitioned') {
        expectAppliedInTime(await core.order(victim, 'back'));
        zones.push('back');
      }
      await core.world.advance(1_500);
      expectAppliedInTime(await core.order(victim, 'again'));
      await expectReadInTime(core, victim, [...zones, 'again']);
      expect(core.broken).toEqual([]);
    },
  );

  test.each([0, 1, 2])('of three, while it proposes (seed %i)', async (seed) => {
    for (let ms = 10; ms < 260; ms += 25) {
      const core = await bootstrapped(600 + seed, THREE);
      void core
        .node('h1')
        .controller?.ledger.propose(
          { id: 'order-half', cause: 'A test.', act: { tag: 'evacuation', zone: 'half', begun: true } },
          1_500,
        );
      await core.world.advance(ms);
      injectFailure(core, failure, 'h1');
      for (const name of ['h2', 'h3', 'h2']) expectAppliedInTime(await core.order(name, `${name}-${core.world.now()}`));
      expect(core.broken).toEqual([]);
    }
  });

  test.each([0, 1, 2])('two of five (seed %i)', async (seed) => {
    const core = await bootstrapped(700 + seed, FIVE);
    const victims = [FIVE[seed] as string, FIVE[seed + 2] as string];
    if (failure === 'partitioned') core.isolate(victims);
    else for (const v of victims) injectFailure(core, failure, v);
    for (const name of FIVE) if (!victims.includes(name)) expectAppliedInTime(await core.order(name, name));
    expect(core.broken).toEqual([]);
  });
});

describe('concurrent orders', () => {
  test.each([...Array(12).keys()])(
    'orders placed at all three at the same moment are all confirmed within a second (seed %i)',
    async (seed) => {
      const core = await bootstrapped(800 + seed, THREE);
      const all: Promise<unknown>[] = [];
      const durationsMs: number[] = [];
      for (const name of THREE) {
        const from = core.world.now();
        const proposal = core
          .node(name)
          .controller?.ledger.propose(
            { id: name, cause: 'A test.', act: { tag: 'evacuation', zone: name, begun: true } },
            1_500,
          );
        all.push(Promise.resolve(proposal).then((r) => (durationsMs.push(core.world.now() - from), r)));
      }
      expect(await core.runUntilSettled(Promise.all(all), 5_000)).toEqual(
        THREE.map(() => expect.objectContaining({ ok: true })),
      );
      expect(Math.max(...durationsMs)).toBeLessThan(1_000);
      expect(core.broken).toEqual([]);
    },
  );

  test('without a majority each order fails within its own timeout, however many are queued', async () => {
    const core = await bootstrapped(900, THREE);
    core.powerLoss('h2');
    core.powerLoss('h3');
    const from = core.world.now();
    const endTimesMs: number[] = [];
    const all = [0, 1, 2, 3].map(async (n) => {
      await core.runUntilSettled(Promise.resolve(), 1);
      const response = await core
        .node('h1')
        .controller?.ledger.propose(
          { cause: 'A test.', act: { tag: 'evacuation', zone: `z${n}`, begun: true } },
          1_500,
        );
      endTimesMs.push(core.world.now() - from);
      return response?.ok;
    });
    expect(await core.runUntilSettled(Promise.all(all), 10_000)).toEqual([false, false, false, false]);
    expect(Math.max(...endTimesMs)).toBeLessThanOrEqual(1_600);
  });
});
