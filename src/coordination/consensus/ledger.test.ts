import { expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';

const THREE = ['h1', 'h2', 'h3'];

async function bootstrapped(seed: number): Promise<SimCore> {
  const core = createSimCore(seed);
  core.startAll();
  expect(await core.until(4_000, () => core.whole(THREE))).toBe(true);
  return core;
}
async function proposeChange(core: SimCore, at: string, base: number, bytes: number): Promise<unknown> {
  const ledger = core.node(at).controller?.ledger;
  const command = {
    tag: 'configured' as const,
    base,
    changes: [{ path: ['deployment', 'note'], value: 'x'.repeat(bytes) }],
  };
  return core.runUntilSettled(Promise.resolve(ledger?.propose({ cause: 'A test.', act: command }, 1_500)), 5_000);
}

test('an order too large for a record is rejected, and does not affect later ones', async () => {
  const core = await bootstrapped(1);
  expect(await proposeChange(core, 'h1', 0, 300_000)).toMatchObject({
    ok: false,
    error: { tag: 'cannotWrite', error: { tag: 'recordTooLarge' } },
  });
  for (const name of THREE) expect((await core.order(name, name)).result?.ok).toBe(true);
});

test('orders that together exceed a record are committed one after another', async () => {
  const core = await bootstrapped(2);
  const ledger = core.node('h1').controller?.ledger;
  const all = ['a', 'b', 'c'].map((zone) =>
    Promise.resolve(
      ledger?.propose(
        {
          id: zone,
          cause: 'A test.',
          act: { tag: 'configured', base: 0, changes: [{ path: ['deployment', zone], value: 'x'.repeat(150_000) }] },
        },
        1_500,
      ),
    ),
  );
  const response = await core.runUntilSettled(Promise.all(all), 5_000);
  expect(response?.map((r) => r?.ok)).toEqual([true, true, true]);
});

test('the slots kept in memory are bounded in bytes; a member that lags further takes the complete control state', async () => {
  const core = await bootstrapped(3);
  core.kill('h3');
  let base = 0;
  for (let n = 0; n < 40; n += 1) {
    const response = (await proposeChange(core, 'h1', base, 100_000)) as {
      readonly ok: boolean;
      readonly value: { readonly slot: number };
    };
    expect(response.ok).toBe(true);
    base = response.value.slot;
  }
  const ledger = core.node('h1').controller?.ledger;
  expect(ledger?.since(1)).toBeNull();
  expect(JSON.stringify(ledger?.since(base - 5)).length).toBeGreaterThan(500_000);
  core.start('h3');
  expect(await core.until(3_000, () => core.node('h3').controller?.ledger.controlState().slot === base)).toBe(true);
  core.kill('h1');
  core.start('h1');
  await core.until(2_000, () => core.node('h1').controller !== null);
  expect(core.node('h1').controller?.ledger.controlState().version).toBe(base);
  expect(core.broken).toEqual([]);
});

test.each([1, 2, 3, 4, 5, 6])(
  'a lagging member catches up before it accepts: its disk alone then holds all earlier entries (seed %i)',
  async (seed) => {
    const core = await bootstrapped(20 + seed);
    await core.world.advance(1_500);
    core.world.cut('h2', 'h3');
    core.world.cut('h3', 'h2');
    expect((await core.order('h3', 'a')).result?.ok).toBe(true);
    await core.until(1_000, () => core.node('h1').controller?.ledger.controlState().evacuated['a'] !== undefined);
    expect((await core.order('h1', 'b')).result?.ok).toBe(true);
    core.powerLoss('h3');
    core.powerLoss('h1');
    core.powerLoss('h2');
    core.start('h2');
    await core.until(1_000, () => core.node('h2').controller !== null);
    expect(Object.keys(core.node('h2').controller?.ledger.controlState().evacuated ?? {})).toContain('a');
  },
);
