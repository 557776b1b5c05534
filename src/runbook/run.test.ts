import { describe, expect, test } from '@jest/globals';
import { readFileSync } from 'node:fs';
import { createCoreClient } from '../operator/core.js';
import type { CoreClient } from '../operator/core.js';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';
import { createRng } from '../transport/rng.js';
import { readRunbook } from './document.js';
import type { Runbook, Step } from './document.js';
import { runRunbook, findUnmetPrecondition } from './run.js';
import type { RunEnd, StepRecord } from './run.js';

function loadRunbook(file: string, inputs: Record<string, string>): Runbook {
  const read = readRunbook(readFileSync(`runbooks/${file}.yaml`, 'utf8'), inputs);
  if (!read.ok) throw new Error(JSON.stringify(read.error));
  return read.value;
}

type RunResult = { readonly end: RunEnd | null; readonly records: StepRecord[] };
type Confirm = (step: Step) => boolean;

async function startedFleet(seed: number): Promise<SimFleet> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  return fleet;
}
function coreOf(fleet: SimFleet): {
  readonly core: CoreClient;
  readonly proc: ReturnType<SimFleet['world']['startProcess']>;
} {
  const proc = fleet.world.startProcess(fleet.world.host('operator', 'lab'));
  return {
    proc,
    core: createCoreClient(
      fleet.controllers.map((h) => h.http),
      fleet.httpClientOf(proc),
    ),
  };
}
async function execute(
  fleet: SimFleet,
  runbook: Runbook,
  confirm: Confirm,
  before: StepRecord[] = [],
  dryRun = false,
): Promise<RunResult> {
  const { proc, core } = coreOf(fleet);
  const records: StepRecord[] = [];
  const run = runRunbook(runbook, {
    core,
    clock: fleet.world.clockOf(proc),
    rng: createRng(fleet.seed + records.length),
    dryRun,
    previousRecords: before,
    confirm: async (step) => confirm(step),
    record: async (entry) => void records.push(entry),
  });
  return { end: await fleet.runUntilSettled(run, 900_000), records };
}
const confirmAll: Confirm = () => true;

describe('runbooks executed against a simulated fleet', () => {
  test('evacuate and hand back: declined halfway, resumed, and from the start again once it is done', async () => {
    const fleet = await startedFleet(61);
    const runbook = loadRunbook('evacuate-and-hand-back', { zone: 'hu-1' });
    const first = await execute(fleet, runbook, (s) => s.work.tag !== 'person');
    expect(first.end).toMatchObject({ tag: 'stopped', outcome: 'declined' });
    const controlState = () => fleet.controllers[0]?.controller?.ledger.controlState();
    expect(Object.keys(controlState()?.evacuated ?? {})).toEqual(['hu-1']);
    const slot = controlState()?.slot ?? 0;
    const second = await execute(fleet, runbook, confirmAll, first.records);
    expect(second.end).toEqual({ tag: 'done' });
    expect(second.records.filter((r) => r.outcome === 'doneBefore').map((r) => r.name)).toEqual(['Empty hu-1']);
    expect(controlState()?.evacuated).toEqual({});
    expect(controlState()?.slot).toBeGreaterThan(slot);
    const third = await execute(fleet, runbook, confirmAll, [...first.records, ...second.records]);
    expect(third.records.some((r) => r.outcome === 'doneBefore')).toBe(false);
  });

  test('a dry run changes nothing', async () => {
    const fleet = await startedFleet(62);
    const version = fleet.controllers[0]?.controller?.ledger.controlState().version;
    const result = await execute(fleet, loadRunbook('roll-out-setting', {}), () => false, [], true);
    expect(result.end).toEqual({ tag: 'wouldDo' });
    expect(fleet.controllers[0]?.controller?.ledger.controlState().version).toBe(version);
  });

  test('a setting is rolled out and reverted', async () => {
    const fleet = await startedFleet(63);
    const nExtra = () => fleet.controllers[1]?.controller?.ledger.controlState().configuration.deployment.nExtra;
    expect((await execute(fleet, loadRunbook('roll-out-setting', {}), confirmAll)).end).toEqual({ tag: 'done' });
    expect(nExtra()).toBe(3);
    expect((await execute(fleet, loadRunbook('take-back-setting', {}), confirmAll)).end).toEqual({ tag: 'done' });
    expect(nExtra()).toBe(2);
  });

  test('replace a core machine', async () => {
    const fleet = await startedFleet(64);
    fleet.kill('controller-2');
    fleet.wipe('controller-2');
    await fleet.run(6_000);
    const controllerNode = fleet.controllers[1];
    const result = await execute(
      fleet,
      loadRunbook('replace-core-machine', { name: 'controller-2', address: controllerNode?.wire ?? '' }),
      (step) => {
        if (step.name.startsWith('Start')) void fleet.startNode('controller-2');
        return true;
      },
    );
    expect(result.end).toEqual({ tag: 'done' });
    expect(controllerNode?.controller?.ledger.isMember()).toBe(true);
  });

  test('a region is lost, then comes back cold', async () => {
    const fleet = await startedFleet(65);
    const lostHosts = fleet.world
      .hosts()
      .filter((h) => h.zone === 'ro-1')
      .map((h) => h.name);
    for (const name of lostHosts) fleet.powerLoss(name);
    await fleet.run(4_000);
    expect(
      (await execute(fleet, loadRunbook('region-lost', { zone: 'ro-1', proxy: 'proxy-ro-1-1' }), confirmAll)).end,
    ).toEqual({
      tag: 'done',
    });
    for (const name of lostHosts) void fleet.startNode(name);
    expect(
      (await execute(fleet, loadRunbook('region-back-cold', { zone: 'ro-1', node: 'proxy-ro-1-1' }), confirmAll)).end,
    ).toEqual({
      tag: 'done',
    });
    expect(fleet.controllers[0]?.controller?.ledger.controlState().evacuated).toEqual({});
  });

  test('no spot capacity for a while (spot drought)', async () => {
    const fleet = await startedFleet(66);
    const zones = ['hu-1', 'at-1', 'ro-1'];
    for (const zone of zones)
      await fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/zone', body: { zone, spot: false } });
    for (const order of Object.values(fleet.controllers[0]?.controller?.ledger.controlState().orders ?? {})) {
      await fleet.call({
        method: 'POST',
        address: fleet.cloudAddress,
        path: '/lab/reclaim',
        body: { machine: order.machine, remainingMs: 200 },
      });
    }
    fleet.world.at(20_000, () => {
      for (const zone of zones)
        void fleet.call({ method: 'POST', address: fleet.cloudAddress, path: '/lab/zone', body: { zone, spot: true } });
    });
    expect((await execute(fleet, loadRunbook('spot-drought', { model: 'summary' }), confirmAll)).end).toEqual({
      tag: 'done',
    });
  });

  test('upgrade a node, and repair a full disk', async () => {
    const fleet = await startedFleet(67);
    const restartNode: Confirm = (step) => {
      if (step.work.tag !== 'person') return true;
      const name = step.work.does.includes('proxy') ? 'proxy-at-1-1' : 'controller-3';
      fleet.kill(name);
      fleet.world.at(1_000, () => void fleet.startNode(name));
      return true;
    };
    expect((await execute(fleet, loadRunbook('upgrade-node', { name: 'proxy-at-1-1' }), restartNode)).end).toEqual({
      tag: 'done',
    });
    const controllerNode = fleet.controllers[2];
    if (controllerNode) controllerNode.platter.failing = true;
    await fleet.operator(0, 'POST', '/v1/zones/at-1/evacuate', {});
    await fleet.run(1_000);
    if (controllerNode) controllerNode.platter.failing = false;
    expect((await execute(fleet, loadRunbook('full-disk', { name: 'controller-3' }), restartNode)).end).toEqual({
      tag: 'done',
    });
    expect(controllerNode?.controller?.ledger.writable()).toBe(true);
  });

  test('an unmet precondition stops the run before any change; a condition not met in time ends its step as late', async () => {
    const fleet = await startedFleet(68);
    fleet.kill('proxy-ro-1-1');
    await fleet.run(5_000);
    const runbook = loadRunbook('evacuate-and-hand-back', { zone: 'hu-1' });
    const unmet = await fleet.runUntilSettled(
      findUnmetPrecondition(
        runbook,
        coreOf(fleet).core,
        fleet.world.clockOf(fleet.world.startProcess(fleet.world.host('looker', 'lab'))),
      ),
      20_000,
    );
    expect(unmet?.step.name).toBe('All proxies are up to date');
    const result = await execute(fleet, runbook, confirmAll);
    expect(result.end).toMatchObject({ tag: 'stopped', outcome: 'unmet' });
    expect(fleet.controllers[0]?.controller?.ledger.controlState().evacuated).toEqual({});
    const unmetAgain = await execute(
      fleet,
      loadRunbook('region-back-cold', { zone: 'hu-1', node: 'proxy-ro-1-1' }),
      confirmAll,
    );
    expect(unmetAgain.end).toMatchObject({ tag: 'stopped', outcome: 'unmet' });
    await fleet.operator(0, 'POST', '/v1/zones/hu-1/evacuate', {});
    const late = await execute(
      fleet,
      loadRunbook('region-back-cold', { zone: 'hu-1', node: 'proxy-ro-1-1' }),
      confirmAll,
    );
    expect(late.end).toMatchObject({ tag: 'stopped', outcome: 'late' });
  });
});
