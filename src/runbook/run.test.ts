import { describe, expect, test } from '@jest/globals';
import { readFileSync } from 'node:fs';
import { createCore } from '../operator/core.js';
import type { Core } from '../operator/core.js';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';
import { createRng } from '../transport/rng.js';
import { readRunbook } from './document.js';
import type { Runbook, Step } from './document.js';
import { runRunbook, unmetAtStart } from './run.js';
import type { RunEnd, StepRecord } from './run.js';

function book(file: string, inputs: Record<string, string>): Runbook {
  const read = readRunbook(readFileSync(`runbooks/${file}.yaml`, 'utf8'), inputs);
  if (!read.ok) throw new Error(JSON.stringify(read.error));
  return read.value;
}

type Played = { readonly end: RunEnd | null; readonly records: StepRecord[] };
type Hands = (step: Step) => boolean;

async function ready(seed: number): Promise<SimFleet> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  return fleet;
}
function coreOf(fleet: SimFleet): { readonly core: Core; readonly proc: ReturnType<SimFleet['world']['begin']> } {
  const proc = fleet.world.begin(fleet.world.host('operator', 'lab'));
  return {
    proc,
    core: createCore(
      fleet.controllers.map((h) => h.http),
      fleet.httpClientOf(proc),
    ),
  };
}
async function play(
  fleet: SimFleet,
  b: Runbook,
  hands: Hands,
  before: StepRecord[] = [],
  dryRun = false,
): Promise<Played> {
  const { proc, core } = coreOf(fleet);
  const records: StepRecord[] = [];
  const run = runRunbook(b, {
    core,
    clock: fleet.world.clockOf(proc),
    rng: createRng(fleet.seed + records.length),
    dryRun,
    before,
    confirm: async (step) => hands(step),
    record: async (r) => void records.push(r),
  });
  return { end: await fleet.finish(run, 900_000), records };
}
const yes: Hands = () => true;

describe('runbooks, executed against a fleet', () => {
  test('evacuate and hand back, declined halfway and taken up again', async () => {
    const fleet = await ready(61);
    const b = book('evacuate-and-hand-back', { zone: 'hu-1' });
    const first = await play(fleet, b, (s) => s.work.tag !== 'person');
    expect(first.end).toMatchObject({ tag: 'stopped', outcome: 'declined' });
    const controlState = () => fleet.controllers[0]?.controller?.ledger.controlState();
    expect(Object.keys(controlState()?.evacuated ?? {})).toEqual(['hu-1']);
    const slot = controlState()?.slot ?? 0;
    const second = await play(fleet, b, yes, first.records);
    expect(second.end).toEqual({ tag: 'done' });
    expect(second.records.filter((r) => r.outcome === 'doneBefore').map((r) => r.name)).toEqual(['Empty hu-1']);
    expect(controlState()?.evacuated).toEqual({});
    expect(controlState()?.slot).toBeGreaterThan(slot);
    const third = await play(fleet, b, yes, [...first.records, ...second.records]);
    expect(third.records.some((r) => r.outcome === 'doneBefore')).toBe(false);
  });

  test('a dry run changes nothing', async () => {
    const fleet = await ready(62);
    const version = fleet.controllers[0]?.controller?.ledger.controlState().version;
    const response = await play(fleet, book('roll-out-setting', {}), () => false, [], true);
    expect(response.end).toEqual({ tag: 'wouldDo' });
    expect(fleet.controllers[0]?.controller?.ledger.controlState().version).toBe(version);
  });

  test('a setting is rolled out and taken back', async () => {
    const fleet = await ready(63);
    const extra = () => fleet.controllers[1]?.controller?.ledger.controlState().configuration.deployment.nExtra;
    expect((await play(fleet, book('roll-out-setting', {}), yes)).end).toEqual({ tag: 'done' });
    expect(extra()).toBe(3);
    expect((await play(fleet, book('take-back-setting', {}), yes)).end).toEqual({ tag: 'done' });
    expect(extra()).toBe(2);
  });

  test('replace a core machine', async () => {
    const fleet = await ready(64);
    fleet.kill('controller-2');
    fleet.wipe('controller-2');
    await fleet.run(6_000);
    const h = fleet.controllers[1];
    const response = await play(
      fleet,
      book('replace-core-machine', { name: 'controller-2', address: h?.wire ?? '' }),
      (s) => {
        if (s.name.startsWith('Start')) void fleet.startNode('controller-2');
        return true;
      },
    );
    expect(response.end).toEqual({ tag: 'done' });
    expect(h?.controller?.ledger.isMember()).toBe(true);
  });

  test('region lost, then back cold', async () => {
    const fleet = await ready(65);
    const gone = fleet.world
      .hosts()
      .filter((h) => h.zone === 'ro-1')
      .map((h) => h.name);
    for (const name of gone) fleet.powerLoss(name);
    await fleet.run(4_000);
    expect((await play(fleet, book('region-lost', { zone: 'ro-1', proxy: 'proxy-ro-1-1' }), yes)).end).toEqual({
      tag: 'done',
    });
    for (const name of gone) void fleet.startNode(name);
    expect((await play(fleet, book('region-back-cold', { zone: 'ro-1', node: 'proxy-ro-1-1' }), yes)).end).toEqual({
      tag: 'done',
    });
    expect(fleet.controllers[0]?.controller?.ledger.controlState().evacuated).toEqual({});
  });

  test('spot drought', async () => {
    const fleet = await ready(66);
    const zones = ['hu-1', 'at-1', 'ro-1'];
    for (const zone of zones)
      await fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/zone', body: { zone, spot: false } });
    for (const o of Object.values(fleet.controllers[0]?.controller?.ledger.controlState().orders ?? {})) {
      await fleet.call({
        method: 'POST',
        address: fleet.cloudAddress,
        path: '/lab/reclaim',
        body: { machine: o.machine, remainingMs: 200 },
      });
    }
    fleet.world.at(20_000, () => {
      for (const zone of zones)
        void fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/zone', body: { zone, spot: true } });
    });
    expect((await play(fleet, book('spot-drought', { model: 'summary' }), yes)).end).toEqual({ tag: 'done' });
  });

  test('upgrade a node, and mend a full disk', async () => {
    const fleet = await ready(67);
    const bounce: Hands = (s) => {
      if (s.work.tag !== 'person') return true;
      const name = s.work.does.includes('proxy') ? 'proxy-at-1-1' : 'controller-3';
      fleet.kill(name);
      fleet.world.at(1_000, () => void fleet.startNode(name));
      return true;
    };
    expect((await play(fleet, book('upgrade-node', { name: 'proxy-at-1-1' }), bounce)).end).toEqual({ tag: 'done' });
    const h = fleet.controllers[2];
    if (h) h.platter.failing = true;
    await fleet.operator(0, 'POST', '/v1/zones/at-1/evacuate', {});
    await fleet.run(1_000);
    if (h) h.platter.failing = false;
    expect((await play(fleet, book('full-disk', { name: 'controller-3' }), bounce)).end).toEqual({ tag: 'done' });
    expect(h?.controller?.ledger.writable()).toBe(true);
  });

  test('an unmet precondition stops before anything is changed; a late step says so', async () => {
    const fleet = await ready(68);
    fleet.kill('proxy-ro-1-1');
    await fleet.run(5_000);
    const b = book('evacuate-and-hand-back', { zone: 'hu-1' });
    const unmet = await fleet.finish(
      unmetAtStart(b, coreOf(fleet).core, fleet.world.clockOf(fleet.world.begin(fleet.world.host('looker', 'lab')))),
      20_000,
    );
    expect(unmet?.step.name).toBe('All proxies are up to date');
    const response = await play(fleet, b, yes);
    expect(response.end).toMatchObject({ tag: 'stopped', outcome: 'unmet' });
    expect(fleet.controllers[0]?.controller?.ledger.controlState().evacuated).toEqual({});
    const late = await play(fleet, book('region-back-cold', { zone: 'hu-1', node: 'proxy-ro-1-1' }), yes);
    expect(late.end).toMatchObject({ tag: 'stopped', outcome: 'unmet' });
    await fleet.operator(0, 'POST', '/v1/zones/hu-1/evacuate', {});
    const waited = await play(fleet, book('region-back-cold', { zone: 'hu-1', node: 'proxy-ro-1-1' }), yes);
    expect(waited.end).toMatchObject({ tag: 'stopped', outcome: 'late' });
  });
});
