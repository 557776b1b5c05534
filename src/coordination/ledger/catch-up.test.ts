import { describe, expect, test } from '@jest/globals';
import { bootstrapped, controllerBehind, NARROW } from '../../sim/lag-scenarios.js';
import type { SimCore } from '../../sim/sim-core.js';

const FAR_BEHIND = { orders: 2_000, changes: 1_000 };

describe('on links of 35 ms one way with windows of 64 KB', () => {
  test.each([1, 2, 3])(
    'a controller 1,000 changes and 2,000 orders behind is whole within 4 s (seed %i)',
    async (seed) => {
      expect((await controllerBehind(seed, FAR_BEHIND)).ms).toBeLessThan(4_000);
    },
  );
});

/** A state of some 3 MB, of which no slots are kept that a lagging controller could be told one by one. */
async function largeState(seed: number): Promise<SimCore> {
  const core = await bootstrapped(seed, NARROW);
  core.kill('h3');
  core.rates.limitWindow(0);
  for (let n = 0; n < 8; n += 1) {
    const ledger = core.node('h1').controller?.ledger;
    const base = ledger?.controlState().version ?? 0;
    const act = {
      tag: 'configured' as const,
      base,
      changes: [{ path: ['deployment', `large${n}`], value: `${n}`.repeat(400_000) }],
    };
    await core.finish(Promise.resolve(ledger?.propose({ cause: 'A test.', act }, 5_000)), 20_000);
  }
  core.rates.limitWindow(NARROW.windowBytes);
  return core;
}

async function keepChanging(core: SimCore, at: string, until: () => boolean): Promise<void> {
  for (let n = 0; n < 100 && !until(); n += 1) {
    const ledger = core.node(at).controller?.ledger;
    const base = ledger?.controlState().version ?? 0;
    const act = { tag: 'configured' as const, base, changes: [{ path: ['deployment', 'small'], value: n }] };
    await core.finish(Promise.resolve(ledger?.propose({ cause: 'A test.', act }, 1_500)), 3_000);
    await core.world.advance(100);
  }
}

describe('a state too large for one call', () => {
  test.each([1, 2, 3])('is fetched in parts while others change it (seed %i)', async (seed) => {
    const core = await largeState(seed);
    const stateBytes = JSON.stringify(core.node('h1').controller?.ledger.controlState()).length;
    expect(stateBytes).toBeGreaterThan(3_000_000);
    core.start('h3');
    const isWhole = () => {
      const [h1, h3] = ['h1', 'h3'].map((name) => core.node(name).controller?.ledger.controlState().slot);
      return h3 !== undefined && h1 === h3;
    };
    await core.world.advance(500);
    await keepChanging(core, 'h1', isWhole);
    expect(isWhole()).toBe(true);
    expect(core.node('h3').controller?.ledger.controlState()).toEqual(
      core.node('h1').controller?.ledger.controlState(),
    );
    expect(core.broken).toEqual([]);
  });

  test.each([1, 2, 3])('its giver is lost on the way: it comes whole from the other (seed %i)', async (seed) => {
    const core = await largeState(seed);
    await core.world.advance(2_000);
    core.start('h3');
    await core.world.advance(2_500);
    expect(core.node('h3').controller?.ledger.controlState().slot).toBeLessThan(
      core.node('h1').controller?.ledger.controlState().slot ?? 0,
    );
    core.kill(seed % 2 === 0 ? 'h2' : 'h1');
    const left = seed % 2 === 0 ? 'h1' : 'h2';
    expect(
      await core.until(
        10_000,
        () =>
          core.node('h3').controller?.ledger.controlState().slot ===
          core.node(left).controller?.ledger.controlState().slot,
      ),
    ).toBe(true);
    expect((await core.order('h3', 'after')).result?.ok).toBe(true);
    expect(core.broken).toEqual([]);
  });
});
