import { describe, expect, test } from '@jest/globals';
import { readFileSync } from 'node:fs';
import { createCoreClient } from '../operator/core.js';
import type { CoreClient } from '../operator/core.js';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';
import type { Clock } from '../transport/clock.js';
import { createRng } from '../transport/rng.js';
import { readRunbook } from './document.js';
import type { Runbook, Step } from './document.js';
import { runRunbook, findUnmetPrecondition } from './run.js';
import type { RunEnd, StepRecord } from './run.js';

type TestFleet = {
  readonly fleet: SimFleet;
  readonly clock: Clock;
  readonly core: (at: readonly number[]) => CoreClient;
};
type RunResult = {
  readonly end: RunEnd | null;
  readonly records: readonly StepRecord[];
  readonly asked: readonly string[];
};

const ALL_CONTROLLERS = [0, 1, 2];

async function startTestFleet(seed: number): Promise<TestFleet> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  await fleet.run(4_000);
  const proc = fleet.world.startProcess(fleet.world.host('operator', 'lab'));
  return {
    fleet,
    clock: fleet.world.clockOf(proc),
    core: (at) =>
      createCoreClient(
        at.map((i) => fleet.controllers[i]?.http ?? ''),
        fleet.httpClientOf(proc),
      ),
  };
}
function loadRunbook(name: string, inputs: Record<string, string>): Runbook {
  const read = readRunbook(readFileSync(`runbooks/${name}.yaml`, 'utf8'), inputs);
  if (!read.ok) throw new Error(JSON.stringify(read.error));
  return read.value;
}
async function execute(
  testFleet: TestFleet,
  runbook: Runbook,
  core: CoreClient,
  onConfirm: (step: Step) => void = () => undefined,
): Promise<RunResult> {
  const records: StepRecord[] = [];
  const confirmed: string[] = [];
  async function confirm(step: Step): Promise<boolean> {
    confirmed.push(step.name);
    onConfirm(step);
    return true;
  }
  async function record(entry: StepRecord): Promise<void> {
    records.push(entry);
  }
  const end = await testFleet.fleet.runUntilSettled(
    runRunbook(runbook, {
      core,
      clock: testFleet.clock,
      rng: createRng(7),
      dryRun: false,
      previousRecords: [],
      confirm,
      record,
    }),
    900_000,
  );
  return { end, records, asked: confirmed };
}
const beforeCoreWork = loadRunbook('before-core-work', { name: 'controller-2' });
const FIRST_STEP = 'A majority says that the core bears a further loss';

describe('runbook before-core-work', () => {
  test('all members healthy: the operator is asked for the work, and the core bears a loss again at the end', async () => {
    const testFleet = await startTestFleet(31);
    const result = await execute(testFleet, beforeCoreWork, testFleet.core(ALL_CONTROLLERS), () => {
      testFleet.fleet.kill('controller-2');
      testFleet.fleet.world.at(20_000, () => void testFleet.fleet.startNode('controller-2'));
    });
    expect([result.end, result.asked]).toEqual([{ tag: 'done' }, ['The work']]);
  });

  test('another member is down: stops before the operator is asked, and names the member', async () => {
    const testFleet = await startTestFleet(32);
    testFleet.fleet.kill('controller-3');
    await testFleet.fleet.run(3_000);
    const unmet = await testFleet.fleet.runUntilSettled(
      findUnmetPrecondition(beforeCoreWork, testFleet.core(ALL_CONTROLLERS), testFleet.clock),
      60_000,
    );
    expect(unmet?.step.name).toBe(FIRST_STEP);
    const result = await execute(testFleet, beforeCoreWork, testFleet.core(ALL_CONTROLLERS));
    expect(result.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      seen: expect.stringContaining('controller-3 silent'),
    });
    expect(result.asked).toEqual([]);
  });

  test('two members are down: stops before the operator is asked, as no majority reports its health', async () => {
    const testFleet = await startTestFleet(33);
    for (const name of ['controller-1', 'controller-3']) testFleet.fleet.kill(name);
    await testFleet.fleet.run(3_000);
    const result = await execute(testFleet, beforeCoreWork, testFleet.core(ALL_CONTROLLERS));
    expect(result.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      seen: expect.stringContaining('no majority of the members says'),
    });
    expect(result.asked).toEqual([]);
  });

  test('the only named controller is partitioned: the other members are queried, and their reports count', async () => {
    const testFleet = await startTestFleet(34);
    testFleet.fleet.isolate(['controller-1']);
    await testFleet.fleet.run(3_000);
    const result = await execute(testFleet, beforeCoreWork, testFleet.core([0]));
    expect(result.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      seen: expect.stringContaining('ledger bears 0 of at least 1 (controller-1 silent)'),
    });
  });

  test('the controller does not come back: the step that waits for it is late, and no success is reported', async () => {
    const testFleet = await startTestFleet(35);
    const result = await execute(testFleet, beforeCoreWork, testFleet.core(ALL_CONTROLLERS), () =>
      testFleet.fleet.kill('controller-2'),
    );
    expect(result.end).toMatchObject({
      tag: 'stopped',
      outcome: 'late',
      step: { name: 'The core bears a further loss again' },
      seen: expect.stringContaining('controller-2 silent'),
    });
  });

  test('a member whose disk rejects writes counts as lost already', async () => {
    const testFleet = await startTestFleet(36);
    const failing = testFleet.fleet.controllers[2];
    if (failing) failing.platter.failing = true;
    await testFleet.fleet.operator(0, 'POST', '/v1/zones/at-1/evacuate', {});
    await testFleet.fleet.run(3_000);
    const result = await execute(testFleet, beforeCoreWork, testFleet.core(ALL_CONTROLLERS));
    expect(result.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      seen: expect.stringContaining('controller-3 cannotWrite'),
    });
  });
});

describe('runbook replace-core-machine', () => {
  const stepName = 'The core goes on without controller-2';
  function replaceRunbook(testFleet: TestFleet): Runbook {
    return loadRunbook('replace-core-machine', {
      name: 'controller-2',
      address: testFleet.fleet.controllers[1]?.wire ?? '',
    });
  }

  test('a lost controller is replaced, and the last step reports that the core bears a loss again', async () => {
    const testFleet = await startTestFleet(41);
    testFleet.fleet.kill('controller-2');
    testFleet.fleet.wipe('controller-2');
    await testFleet.fleet.run(6_000);
    const result = await execute(
      testFleet,
      replaceRunbook(testFleet),
      testFleet.core(ALL_CONTROLLERS),
      (step) => void (step.name.startsWith('Start') && testFleet.fleet.startNode('controller-2')),
    );
    expect(result.end).toEqual({ tag: 'done' });
    expect(result.records.find((r) => r.name === 'The core bears a further loss again')).toMatchObject({
      outcome: 'done',
      seen: 'ledger bears 1 of at least 1; claims bears 1 of at least 1',
    });
  });

  test('stops while another member lacks what the core needs: the loss of this one would be the second', async () => {
    const testFleet = await startTestFleet(42);
    const failing = testFleet.fleet.controllers[2];
    if (failing) failing.platter.failing = true;
    await testFleet.fleet.operator(0, 'POST', '/v1/zones/at-1/evacuate', {});
    await testFleet.fleet.run(3_000);
    const result = await execute(testFleet, replaceRunbook(testFleet), testFleet.core(ALL_CONTROLLERS));
    expect(result.end).toMatchObject({
      tag: 'stopped',
      outcome: 'unmet',
      step: { name: stepName },
      seen: expect.stringContaining('ledger would stop without controller-2 (controller-3 cannotWrite)'),
    });
    expect(result.asked).toEqual([]);
  });
});
