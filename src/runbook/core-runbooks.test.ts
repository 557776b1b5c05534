import { describe, expect, test } from '@jest/globals';
import { readFileSync } from 'node:fs';
import { createCore } from '../operator/core.js';
import type { Core } from '../operator/core.js';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';
import type { Clock } from '../transport/clock.js';
import { createRng } from '../transport/rng.js';
import { readRunbook } from './document.js';
import type { Runbook, Step } from './document.js';
import { runRunbook, unmetAtStart } from './run.js';
import type { RunEnd, StepRecord } from './run.js';

type Desk = { readonly fleet: SimFleet; readonly clock: Clock; readonly core: (at: readonly number[]) => Core };
type Played = {
  readonly end: RunEnd | null;
  readonly records: readonly StepRecord[];
  readonly asked: readonly string[];
};

const ALL = [0, 1, 2];

async function desk(seed: number): Promise<Desk> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  await fleet.run(4_000);
  const proc = fleet.world.begin(fleet.world.host('operator', 'lab'));
  return {
    fleet,
    clock: fleet.world.clockOf(proc),
    core: (at) =>
      createCore(
        at.map((i) => fleet.controllers[i]?.http ?? ''),
        fleet.httpClientOf(proc),
      ),
  };
}
function book(name: string, inputs: Record<string, string>): Runbook {
  const read = readRunbook(readFileSync(`runbooks/${name}.yaml`, 'utf8'), inputs);
  if (!read.ok) throw new Error(JSON.stringify(read.error));
  return read.value;
}
async function play(
  d: Desk,
  runbook: Runbook,
  core: Core,
  work: (step: Step) => void = () => undefined,
): Promise<Played> {
  const records: StepRecord[] = [];
  const asked: string[] = [];
  async function confirm(step: Step): Promise<boolean> {
    asked.push(step.name);
    work(step);
    return true;
  }
  async function record(r: StepRecord): Promise<void> {
    records.push(r);
  }
  const end = await d.fleet.finish(
    runRunbook(runbook, { core, clock: d.clock, rng: createRng(7), dryRun: false, before: [], confirm, record }),
    900_000,
  );
  return { end, records, asked };
}
const planned = book('before-core-work', { name: 'controller-2' });
const FIRST = 'A majority says that the core bears a further loss';

describe('before planned work on the core', () => {
  test('all well: the work is asked for, and the core bears a loss again at the end', async () => {
    const d = await desk(31);
    const response = await play(d, planned, d.core(ALL), () => {
      d.fleet.kill('controller-2');
      d.fleet.world.at(20_000, () => void d.fleet.startNode('controller-2'));
    });
    expect([response.end, response.asked]).toEqual([{ tag: 'done' }, ['The work']]);
  });

  test('another member is dead: refused before anyone is asked, naming it', async () => {
    const d = await desk(32);
    d.fleet.kill('controller-3');
    await d.fleet.run(3_000);
    const unmet = await d.fleet.finish(unmetAtStart(planned, d.core(ALL), d.clock), 60_000);
    expect(unmet?.step.name).toBe(FIRST);
    const response = await play(d, planned, d.core(ALL));
    expect(response.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      seen: expect.stringContaining('controller-3 silent'),
    });
    expect(response.asked).toEqual([]);
  });

  test('two are dead: refused, as no majority knows', async () => {
    const d = await desk(33);
    for (const name of ['controller-1', 'controller-3']) d.fleet.kill(name);
    await d.fleet.run(3_000);
    const response = await play(d, planned, d.core(ALL));
    expect(response.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      seen: expect.stringContaining('no majority of the members says'),
    });
    expect(response.asked).toEqual([]);
  });

  test('the only one that is named is cut off: the others are asked, and their word counts', async () => {
    const d = await desk(34);
    d.fleet.cutOff(['controller-1']);
    await d.fleet.run(3_000);
    const response = await play(d, planned, d.core([0]));
    expect(response.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      seen: expect.stringContaining('ledger bears 0 of at least 1 (controller-1 silent)'),
    });
  });

  test('the controller does not come back: late, and no word of success', async () => {
    const d = await desk(35);
    const response = await play(d, planned, d.core(ALL), () => d.fleet.kill('controller-2'));
    expect(response.end).toMatchObject({
      tag: 'stopped',
      outcome: 'late',
      step: { name: 'The core bears a further loss again' },
      seen: expect.stringContaining('controller-2 silent'),
    });
  });

  test('a disk that takes no writes is a loss already', async () => {
    const d = await desk(36);
    const sick = d.fleet.controllers[2];
    if (sick) sick.platter.failing = true;
    await d.fleet.operator(0, 'POST', '/v1/zones/at-1/evacuate', {});
    await d.fleet.run(3_000);
    const response = await play(d, planned, d.core(ALL));
    expect(response.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      seen: expect.stringContaining('controller-3 cannotWrite'),
    });
  });
});

describe('replace a controller', () => {
  const step = 'The core goes on without controller-2';
  function replace(d: Desk): Runbook {
    return book('replace-core-machine', { name: 'controller-2', address: d.fleet.controllers[1]?.wire ?? '' });
  }

  test('a lost one is replaced, and the last step says that the core bears a loss again', async () => {
    const d = await desk(41);
    d.fleet.kill('controller-2');
    d.fleet.wipe('controller-2');
    await d.fleet.run(6_000);
    const response = await play(
      d,
      replace(d),
      d.core(ALL),
      (s) => void (s.name.startsWith('Start') && d.fleet.startNode('controller-2')),
    );
    expect(response.end).toEqual({ tag: 'done' });
    expect(response.records.find((r) => r.name === 'The core bears a further loss again')).toMatchObject({
      outcome: 'done',
      seen: 'ledger bears 1 of at least 1; claims bears 1 of at least 1',
    });
  });

  test('refused while another one lacks what the core needs: its loss would be the second', async () => {
    const d = await desk(42);
    const sick = d.fleet.controllers[2];
    if (sick) sick.platter.failing = true;
    await d.fleet.operator(0, 'POST', '/v1/zones/at-1/evacuate', {});
    await d.fleet.run(3_000);
    const response = await play(d, replace(d), d.core(ALL));
    expect(response.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      step: { name: step },
      seen: expect.stringContaining('ledger would stop without controller-2 (controller-3 cannotWrite)'),
    });
    expect(response.asked).toEqual([]);
  });
});
