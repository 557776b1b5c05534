import { describe, expect, test } from '@jest/globals';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { below } from '../../transport/rng.js';

const SYNC_MS = 4_000;

type Run = { readonly core: SimCore; running: string[]; serial: number; readonly acknowledged: string[] };

async function anOrder(r: Run, limitMs: number): Promise<void> {
  const { core } = r;
  const from = core.world.now();
  for (let tries = 0; core.world.now() - from < limitMs; tries += 1) {
    const name = r.running[below(core.world.rng, r.running.length)] as string;
    const zone = `z${r.serial}`;
    const response = await core.order(name, zone);
    if (response.result?.ok && response.result.value.outcome.tag === 'applied') {
      r.acknowledged.push(zone);
      r.serial += 1;
      return;
    }
    await core.world.advance(100);
  }
  expect(`an order after ${Math.round(core.world.now())} ms`).toBe('taken');
}

async function trouble(r: Run): Promise<void> {
  const { core } = r;
  const { rng } = core.world;
  const at = below(rng, r.running.length);
  const name = r.running[at] as string;
  const host = core.node(name).host;
  const spell = 200 + below(rng, 7_000);
  const kind = below(rng, 7);
  if (kind === 0) core.kill(name);
  else if (kind === 1) core.powerLoss(name);
  else if (kind === 2) core.world.freeze(host);
  else if (kind === 3) core.cutOff([name]);
  else if (kind === 4) {
    core.powerLoss(name);
    core.wipe(name);
  } else if (kind === 5) {
    for (const n of r.running) core.powerLoss(n);
    if (rng.next() < 0.5) core.wipe(name);
  } else {
    const next = core.add(`n${r.serial}`).name;
    core.seeds(r.running.slice(0, 3));
    const planned = rng.next() < 0.5;
    if (planned) {
      core.start(next);
      await core.world.advance(1_500 + below(rng, 3_000));
    }
    if (rng.next() < 0.5) await core.end(name);
    else core.powerLoss(name);
    r.running.splice(at, 1);
    if (!planned) {
      await core.world.advance(below(rng, 3_000));
      core.start(next);
    }
    r.running.push(next);
  }
  if (kind !== 5 && kind !== 6)
    await anOrder({ ...r, running: r.running.filter((n) => n !== name) }, 2_000).then(() => (r.serial += 1));
  if (kind < 6) await core.world.advance(spell);
  if (kind === 2) core.world.thaw(host);
  if (kind === 3) core.world.healAll();
  for (const n of r.running) if (!core.node(n).host.running) core.start(n);
  await anOrder(r, SYNC_MS);
  if (!(await core.until(12_000, () => core.whole(r.running))))
    expect([kind, name, ...r.running.map((n) => `${n}: ${core.members(n).join()}`)]).toEqual('whole');
}

describe.each([
  [3, 3],
  [5, 3],
])('a core of %i, %i of them seeds', (controllers, seeds) => {
  test.each([...Array(20).keys()])(
    'through ten troubles one after another nothing acknowledged is lost (seed %i)',
    async (seed) => {
      const core = createSimCore(7_000 + seed, { controllers, seeds, regionMs: 20 });
      const r: Run = { core, running: core.nodes.map((n) => n.name), serial: 0, acknowledged: [] };
      core.startAll();
      expect(await core.until(5_000, () => core.whole(r.running))).toBe(true);
      for (let n = 0; n < 10; n += 1) {
        await anOrder(r, 2_000);
        await trouble(r);
        for (const name of r.running)
          expect(await core.evacuatedAt(name)).toEqual(expect.arrayContaining(r.acknowledged));
      }
      expect(core.broken).toEqual([]);
    },
  );
});
