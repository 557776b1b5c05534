import { describe, expect, test } from '@jest/globals';
import { createSimFleet } from './sim-fleet.js';
import type { SimFleet } from './sim-fleet.js';
import { checkMachines, createWatchers } from './watchers.js';

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

function stepSeen(fleet: SimFleet, step: string, fromSlot: number, fromRecord: number): boolean {
  for (let i = fromRecord; i < fleet.records.length; i += 1) {
    const r = fleet.records[i];
    if (r?.['who'] === 'cloud' && r['event'] === step) return true;
  }
  for (const h of fleet.controllers) {
    for (const b of h.controller?.ledger.since(fromSlot + 1) ?? [])
      for (const e of b.batch.entries) if (e.act.tag === step) return true;
  }
  return false;
}

async function stopHolderAt(
  step: string,
  seed: number,
  how: 'kill' | 'freeze',
): Promise<{ fleet: SimFleet; struck: boolean }> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  const b = fleet.controllers[0]?.controller?.ledger.controlState();
  const victim = Object.values(b?.orders ?? {}).find((o) => o.kind === 'spot' && o.machine !== null);
  const slot = b?.slot ?? 0;
  await fleet.call({
    method: 'POST',
    address: fleet.cloudAddress,
    path: '/lab/reclaim',
    body: { machine: victim?.machine, remainingMs: 20_000 },
  });
  const mark = fleet.records.length;
  const struck = await fleet.until(40_000, () => stepSeen(fleet, step, slot, mark));
  const name = fleet.controllers[fleet.holder()]?.name ?? '';
  if (how === 'kill') fleet.kill(name);
  else fleet.world.freeze(fleet.hostOf(name));
  await fleet.run(9_500);
  if (how === 'kill') void fleet.startNode(name);
  else fleet.world.thaw(fleet.hostOf(name));
  return { fleet, struck };
}

describe.each(['kill', 'freeze'] as const)('a holder lost by %s at each step of an order', (how) => {
  test.each(STEPS.map((step, i) => [step, 500 + i] as const))('%s (seed %i)', async (step, seed) => {
    const { fleet, struck } = await stopHolderAt(step, seed, how);
    expect(struck).toBe(true);
    expect(await fleet.until(90_000, () => fleet.allReady())).toBe(true);
    await fleet.run(15_000);
    checkMachines(fleet);
    createWatchers(fleet).end();
    expect(fleet.check()).toEqual([]);
    const open = Object.values(fleet.controllers[0]?.controller?.ledger.controlState().orders ?? {});
    expect(open.map((o) => [o.kind, o.status])).toEqual([
      ['spot', 'ready'],
      ['spot', 'ready'],
      ['spot', 'ready'],
    ]);
  });
});
