import { describe, expect, test } from '@jest/globals';
import {
  addChanges,
  addOrders,
  bootstrapped,
  controllerBehind,
  NARROW_LINKS,
  proxyBehind,
  advanceOrders,
} from '../../sim/lag-scenarios.js';
import type { SimCore } from '../../sim/sim-core.js';
import { foldBatch, isControlState } from '../../state/consensus/control-state.js';
import type { ControlState } from '../../state/consensus/control-state.js';
import type { Batch } from '../../state/consensus/entry.js';
import { proxyState } from '../../state/consensus/proxy-state.js';

const FAR_BEHIND = { orders: 2_000, changes: 1_000 };

describe('on links with a one-way latency of 35 ms and a window of 64 KB', () => {
  test.each([1, 2])(
    'a controller that lags by 1,000 changes and 2,000 orders catches up within 4 s (seed %i)',
    async (seed) => {
      expect((await controllerBehind(seed, FAR_BEHIND)).ms).toBeLessThan(4_000);
    },
  );

  test.each([1, 2])(
    'a proxy on a 7 Mbit/s link that was partitioned meanwhile serves with the complete state within 2 s (seed %i)',
    async (seed) => {
      expect((await proxyBehind(seed, FAR_BEHIND, false)).ms).toBeLessThan(2_000);
    },
  );

  test.each([1, 2])('a proxy on a 7 Mbit/s link that starts from scratch serves within 2 s (seed %i)', async (seed) => {
    expect((await proxyBehind(seed, FAR_BEHIND, true)).ms).toBeLessThan(2_000);
  });
});

/** Builds a state of about 3 MB whose slots are no longer kept, so that a lagging controller needs a snapshot. */
async function coreWithLargeState(seed: number): Promise<SimCore> {
  const core = await bootstrapped(seed, NARROW_LINKS);
  core.kill('h3');
  core.rates.limitWindow(0);
  for (let n = 0; n < 8; n += 1) {
    const ledger = core.node('h1').controller?.ledger;
    const base = ledger?.controlState().version ?? 0;
    const command = {
      tag: 'configured' as const,
      base,
      changes: [{ path: ['deployment', `large${n}`], value: `${n}`.repeat(400_000) }],
    };
    await core.runUntilSettled(Promise.resolve(ledger?.propose({ cause: 'A test.', act: command }, 5_000)), 20_000);
  }
  core.rates.limitWindow(NARROW_LINKS.windowBytes);
  return core;
}

async function keepChanging(core: SimCore, at: string, until: () => boolean): Promise<void> {
  for (let n = 0; n < 100 && !until(); n += 1) {
    const ledger = core.node(at).controller?.ledger;
    const base = ledger?.controlState().version ?? 0;
    const command = { tag: 'configured' as const, base, changes: [{ path: ['deployment', 'small'], value: n }] };
    await core.runUntilSettled(Promise.resolve(ledger?.propose({ cause: 'A test.', act: command }, 1_500)), 3_000);
    await core.world.advance(100);
  }
}

describe('a state too large for one message', () => {
  test.each([1, 2, 3])('is fetched in chunks while others keep changing it (seed %i)', async (seed) => {
    const core = await coreWithLargeState(seed);
    const stateBytes = JSON.stringify(core.node('h1').controller?.ledger.controlState()).length;
    expect(stateBytes).toBeGreaterThan(3_000_000);
    core.start('h3');
    const hasCaughtUp = () => {
      const [h1, h3] = ['h1', 'h3'].map((name) => core.node(name).controller?.ledger.controlState().slot);
      return h3 !== undefined && h1 === h3;
    };
    await core.world.advance(500);
    await keepChanging(core, 'h1', hasCaughtUp);
    expect(hasCaughtUp()).toBe(true);
    expect(core.node('h3').controller?.ledger.controlState()).toEqual(
      core.node('h1').controller?.ledger.controlState(),
    );
    expect(core.broken).toEqual([]);
  });

  test.each([1, 2, 3])(
    'is fetched completely from the other controller if the sender is lost midway (seed %i)',
    async (seed) => {
      const core = await coreWithLargeState(seed);
      await core.world.advance(2_000);
      core.start('h3');
      await core.world.advance(2_500);
      expect(core.node('h3').controller?.ledger.controlState().slot).toBeLessThan(
        core.node('h1').controller?.ledger.controlState().slot ?? 0,
      );
      core.kill(seed % 2 === 0 ? 'h2' : 'h1');
      const survivor = seed % 2 === 0 ? 'h1' : 'h2';
      expect(
        await core.until(
          10_000,
          () =>
            core.node('h3').controller?.ledger.controlState().slot ===
            core.node(survivor).controller?.ledger.controlState().slot,
        ),
      ).toBe(true);
      expect((await core.order('h3', 'after')).result?.ok).toBe(true);
      expect(core.broken).toEqual([]);
    },
  );
});

describe('closed orders, which are kept by each controller and not in the replicated state', () => {
  function closedOrdersAt(core: SimCore, name: string): string {
    return JSON.stringify(core.node(name).controller?.ledger.closedOrders.all());
  }

  test.each([1, 2, 3])(
    'a controller that lost its disk gets them (who ordered what and why) from the others again (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, NARROW_LINKS);
      await addOrders(core, 600);
      const expectedOrders = closedOrdersAt(core, 'h1');
      expect(expectedOrders.length).toBeGreaterThan(300_000);
      expect(JSON.stringify(core.node('h1').controller?.ledger.controlState()).length).toBeLessThan(100_000);
      core.powerLoss('h3');
      core.wipe('h3');
      core.start('h3');
      expect(
        await core.until(
          20_000,
          () =>
            core.whole(['h1', 'h2', 'h3']) &&
            core.node('h3').controller?.ledger.closedOrders.lacking() === null &&
            closedOrdersAt(core, 'h3') === expectedOrders,
        ),
      ).toBe(true);
      core.kill('h3');
      core.start('h3');
      expect(
        await core.until(
          2_000,
          () => core.node('h3').controller !== null && closedOrdersAt(core, 'h3') === expectedOrders,
        ),
      ).toBe(true);
      expect(core.broken).toEqual([]);
    },
  );

  test.each([1, 2, 3])(
    'survive a power loss of all controllers, then the loss of two disks one after the other (seed %i)',
    async (seed) => {
      const core = await bootstrapped(seed, NARROW_LINKS);
      await addOrders(core, 100);
      const expectedOrders = closedOrdersAt(core, 'h1');
      for (const name of ['h1', 'h2', 'h3']) core.powerLoss(name);
      core.startAll();
      await core.until(10_000, () => core.whole(['h1', 'h2', 'h3']));
      for (const name of ['h1', 'h2']) {
        core.powerLoss(name);
        core.wipe(name);
        core.start(name);
        const hasRecovered = () =>
          core.whole(['h1', 'h2', 'h3']) && core.node(name).controller?.ledger.closedOrders.lacking() === null;
        expect(await core.until(20_000, hasRecovered)).toBe(true);
      }
      for (const name of ['h1', 'h2', 'h3']) expect(closedOrdersAt(core, name)).toBe(expectedOrders);
      expect(core.broken).toEqual([]);
    },
  );
});

describe('the state sent to a proxy', () => {
  test('applies later entries like the complete state: the same members, configuration, zones, machines', async () => {
    const core = await bootstrapped(4, NARROW_LINKS);
    await addOrders(core, 40);
    await addChanges(core, 5);
    await advanceOrders(core, 12, ['intended', 'placed']);
    await addChanges(core, 1);
    const before = core.node('h1').controller?.ledger.since(1) ?? [];
    const fullState = structuredClone(core.node('h1').controller?.ledger.controlState() as ControlState);
    const proxyCopy = JSON.parse(JSON.stringify(proxyState(fullState))) as ControlState;
    expect(isControlState(proxyCopy)).toBe(true);
    const from = fullState.slot + 1;
    expect(JSON.stringify(proxyCopy).length).toBeLessThan(JSON.stringify(fullState).length - 12 * 200);
    await advanceOrders(core, 12, ['ready', 'lost']);
    await addOrders(core, 30);
    await addChanges(core, 3);
    const later = core.node('h1').controller?.ledger.since(from) ?? [];
    expect(later.length).toBeGreaterThan(5);
    for (const { slot, batch } of later)
      expect(foldBatch(proxyCopy, slot, batch)).toEqual(foldBatch(fullState, slot, batch));
    const repeated = before[before.length - 1]?.batch as Batch;
    expect(foldBatch(proxyCopy, fullState.slot + 1, repeated)).toEqual(
      foldBatch(fullState, fullState.slot + 1, repeated),
    );
    expect(proxyState(proxyCopy)).toEqual(proxyState(fullState));
  });
});
