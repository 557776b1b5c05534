import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { randomInt } from '../../transport/rng.js';

const RECOVERY_TIMEOUT_MS = 4_000;

type ChaosRun = { readonly core: SimCore; running: string[]; serial: number; readonly acknowledged: string[] };

async function placeOrder(run: ChaosRun, timeoutMs: number): Promise<void> {
  const { core } = run;
  const startedAt = core.world.now();
  for (let attempts = 0; core.world.now() - startedAt < timeoutMs; attempts += 1) {
    const name = run.running[randomInt(core.world.rng, run.running.length)] as string;
    const zone = `z${run.serial}`;
    const response = await core.order(name, zone);
    if (response.result?.ok && response.result.value.outcome.tag === 'applied') {
      run.acknowledged.push(zone);
      run.serial += 1;
      return;
    }
    await core.world.advance(100);
  }
  expect(`an order after ${Math.round(core.world.now())} ms`).toBe('applied');
}

async function injectFault(run: ChaosRun): Promise<void> {
  const { core } = run;
  const { rng } = core.world;
  const index = randomInt(rng, run.running.length);
  const name = run.running[index] as string;
  const host = core.node(name).host;
  const durationMs = 200 + randomInt(rng, 7_000);
  const faultKind = randomInt(rng, 7);
  if (faultKind === 0) core.kill(name);
  else if (faultKind === 1) core.powerLoss(name);
  else if (faultKind === 2) core.world.freeze(host);
  else if (faultKind === 3) core.isolate([name]);
  else if (faultKind === 4) {
    core.powerLoss(name);
    core.wipe(name);
  } else if (faultKind === 5) {
    for (const n of run.running) core.powerLoss(n);
    if (rng.next() < 0.5) core.wipe(name);
  } else {
    const newName = core.addNode(`n${run.serial}`).name;
    core.seeds(run.running.slice(0, 3));
    const startsFirst = rng.next() < 0.5;
    if (startsFirst) {
      core.start(newName);
      await core.world.advance(1_500 + randomInt(rng, 3_000));
    }
    if (rng.next() < 0.5) await core.stop(name);
    else core.powerLoss(name);
    run.running.splice(index, 1);
    if (!startsFirst) {
      await core.world.advance(randomInt(rng, 3_000));
      core.start(newName);
    }
    run.running.push(newName);
  }
  if (faultKind !== 5 && faultKind !== 6)
    await placeOrder({ ...run, running: run.running.filter((n) => n !== name) }, 2_000).then(() => (run.serial += 1));
  if (faultKind < 6) await core.world.advance(durationMs);
  if (faultKind === 2) core.world.thaw(host);
  if (faultKind === 3) core.world.healAll();
  for (const n of run.running) if (!core.node(n).host.running) core.start(n);
  await placeOrder(run, RECOVERY_TIMEOUT_MS);
  if (!(await core.until(12_000, () => core.whole(run.running))))
    expect([faultKind, name, ...run.running.map((n) => `${n}: ${core.members(n).join()}`)]).toEqual('all are members');
}

describe.each([
  [3, 3],
  [5, 3],
])('a core of %i controllers, %i of them seeds', (controllers, seeds) => {
  test.each([...Array(20).keys()])(
    'loses nothing acknowledged through ten consecutive faults (seed %i)',
    async (seed) => {
      const core = createSimCore(7_000 + seed, { controllers, seeds, regionMs: 20 });
      const run: ChaosRun = { core, running: core.nodes.map((n) => n.name), serial: 0, acknowledged: [] };
      core.startAll();
      expect(await core.until(5_000, () => core.whole(run.running))).toBe(true);
      for (let n = 0; n < 10; n += 1) {
        await placeOrder(run, 2_000);
        await injectFault(run);
        for (const name of run.running)
          expect(await core.readEvacuatedZones(name)).toEqual(expect.arrayContaining(run.acknowledged));
      }
      expect(core.broken).toEqual([]);
    },
  );
});
