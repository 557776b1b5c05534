import { describe, expect, test } from '@jest/globals';
import { createSimFleet } from './sim-fleet.js';
import type { SimFleet } from './sim-fleet.js';
import { checkMachines, createInvariantChecker } from './invariant-checker.js';

const STEPS = [
  'orderLost',
  'orderIntended',
  'machine',
  'orderPlaced',
  'orderReady',
  'orderDraining',
  'gone',
  'orderReleased',
] as const;

function hasSeenStep(fleet: SimFleet, step: string, fromSlot: number, fromRecord: number): boolean {
  for (let i = fromRecord; i < fleet.records.length; i += 1) {
    const record = fleet.records[i];
    if (record?.['who'] === 'cloud' && record['event'] === step) return true;
  }
  for (const simController of fleet.controllers) {
    for (const applied of simController.controller?.ledger.since(fromSlot + 1) ?? [])
      for (const entry of applied.batch.entries) if (entry.act.tag === step) return true;
  }
  return false;
}

async function stopHolderAtStep(
  step: string,
  seed: number,
  how: 'kill' | 'freeze',
): Promise<{ fleet: SimFleet; isStepReached: boolean }> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  const controlState = fleet.controllers[0]?.controller?.ledger.controlState();
  const reclaimedOrder = Object.values(controlState?.orders ?? {}).find(
    (order) => order.kind === 'spot' && order.machine !== null,
  );
  const slot = controlState?.slot ?? 0;
  await fleet.call({
    method: 'POST',
    address: fleet.cloudAddress,
    path: '/lab/reclaim',
    body: { machine: reclaimedOrder?.machine, remainingMs: 20_000 },
  });
  const firstRecord = fleet.records.length;
  const isStepReached = await fleet.until(40_000, () => hasSeenStep(fleet, step, slot, firstRecord));
  const name = fleet.controllers[fleet.holder()]?.name ?? '';
  if (how === 'kill') fleet.kill(name);
  else fleet.world.freeze(fleet.hostOf(name));
  await fleet.run(9_500);
  if (how === 'kill') void fleet.startNode(name);
  else fleet.world.thaw(fleet.hostOf(name));
  return { fleet, isStepReached };
}

describe.each(['kill', 'freeze'] as const)(
  'the holder of the scaler role lost by %s at each step of an order',
  (how) => {
    test.each(STEPS.map((step, i) => [step, 500 + i] as const))('%s (seed %i)', async (step, seed) => {
      const { fleet, isStepReached } = await stopHolderAtStep(step, seed, how);
      expect(isStepReached).toBe(true);
      expect(await fleet.until(90_000, () => fleet.allReady())).toBe(true);
      await fleet.run(15_000);
      checkMachines(fleet);
      createInvariantChecker(fleet).checkRecords();
      expect(fleet.check()).toEqual([]);
      const openOrders = Object.values(fleet.controllers[0]?.controller?.ledger.controlState().orders ?? {});
      expect(openOrders.map((order) => [order.kind, order.status])).toEqual([
        ['spot', 'ready'],
        ['spot', 'ready'],
        ['spot', 'ready'],
      ]);
    });
  },
);
