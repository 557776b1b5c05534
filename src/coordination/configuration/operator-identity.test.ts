import { expect, test } from '@jest/globals';
import { ok } from '../../base/result.js';
import { createSimCore } from '../../sim/sim-core.js';
import type { SimCore } from '../../sim/sim-core.js';
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { Serving } from '../../state/configuration/serving.js';
import { createConfigurationService } from '../configuration/configuration-service.js';
import type { ConfigurationService } from '../configuration/configuration-service.js';
import { createQuietLog } from '../../transport/log.js';

const CONTROLLERS = ['h1', 'h2', 'h3'];
const ORDINARY_ENTRIES = 1_100;

function createServing(number: number): Serving {
  return {
    number,
    mappings: {},
    models: { [`m-${number}`]: { at: 0, probePath: '/h', maxConns: 9, coldS: 0, coldRateS: 0, engine: null } },
    limits: DEFAULT_LIMITS,
  };
}

type Operator = {
  readonly replace: (node: string, base: number, number: number, digest?: string) => Promise<unknown>;
  readonly ordinaryEntries: (node: string) => Promise<void>;
  readonly numberAt: (node: string) => Promise<number>;
};

async function createBootstrappedCore(seed: number): Promise<{ readonly core: SimCore; readonly operator: Operator }> {
  const core = createSimCore(seed);
  const { clock } = core.lab('operator');
  core.startAll();
  expect(await core.until(4_000, () => core.whole(CONTROLLERS))).toBe(true);

  function serviceOf(node: string): ConfigurationService {
    const controller = core.node(node).controller;
    if (!controller) throw new Error(`controller ${node} is not running`);
    return createConfigurationService({ ...controller, clock, log: createQuietLog().component('operator') });
  }
  function replace(node: string, base: number, number: number, digest = `${base}-${number}`): Promise<unknown> {
    return core.runUntilSettled(serviceOf(node).replace(base, createServing(number), digest), 10_000);
  }
  async function ordinaryEntries(node: string): Promise<void> {
    const ledger = core.node(node).controller?.ledger;
    const all = Array.from({ length: ORDINARY_ENTRIES }, async (_, target) =>
      ledger?.propose({ cause: 'A test.', act: { tag: 'targetChanged', model: 'm', target } }, 9_000),
    );
    const agreed = await core.runUntilSettled(Promise.all(all), 10_000);
    expect(agreed?.every((result) => result?.ok)).toBe(true);
  }
  async function numberAt(node: string): Promise<number> {
    const read = await core.runUntilSettled(serviceOf(node).read(), 10_000);
    return read?.ok ? read.value.number : -1;
  }
  return { core, operator: { replace, ordinaryEntries, numberAt } };
}

const taken = (number: number): unknown => ok({ tag: 'taken', number });
const stale = (number: number): unknown => ({ ok: false, error: { tag: 'stale', number } });

async function expectRepeatsRecognised(operator: Operator, nodes: readonly string[]): Promise<void> {
  for (const node of nodes) {
    expect(await operator.replace(node, 7, 8)).toEqual(taken(8));
    expect(await operator.replace(node, 0, 7)).toEqual(taken(7));
    expect(await operator.replace(node, 7, 9)).toEqual(stale(8));
    expect(await operator.numberAt(node)).toBe(8);
  }
}

async function submitTwoChanges(operator: Operator): Promise<void> {
  expect(await operator.replace('h1', 0, 7)).toEqual(taken(7));
  expect(await operator.replace('h3', 7, 8)).toEqual(taken(8));
}

test('a change resent after many ordinary entries is the same change at every node', async () => {
  const { core, operator } = await createBootstrappedCore(31);
  await submitTwoChanges(operator);
  await operator.ordinaryEntries('h2');
  await expectRepeatsRecognised(operator, CONTROLLERS);
  expect(core.broken).toEqual([]);
});

test('a change resent to a member that has it only from a snapshot is the same change', async () => {
  const { core, operator } = await createBootstrappedCore(32);
  core.kill('h2');
  await submitTwoChanges(operator);
  await operator.ordinaryEntries('h1');
  const ledger = core.node('h1').controller?.ledger;
  for (let n = 0; n < 40; n += 1) {
    const command = { tag: 'targetChanged' as const, model: `${n}-`.repeat(40), target: n };
    const cause = 'x'.repeat(1_000);
    const steps = Array.from({ length: 90 }, () => ({ cause, act: command }));
    await core.runUntilSettled(
      Promise.resolve(ledger?.propose({ cause: 'A test.', act: { tag: 'decided', steps } }, 1_500)),
      5_000,
    );
  }
  expect(ledger?.since(1)).toBeNull();
  core.start('h2');
  const top = ledger?.controlState().slot;
  expect(await core.until(4_000, () => core.node('h2').controller?.ledger.controlState().slot === top)).toBe(true);
  await expectRepeatsRecognised(operator, ['h2']);
  expect(core.broken).toEqual([]);
});

test.each([1, 2, 3, 4])('a change resent after all members lost power is the same change (seed %i)', async (seed) => {
  const { core, operator } = await createBootstrappedCore(40 + seed);
  await submitTwoChanges(operator);
  await operator.ordinaryEntries('h2');
  for (const name of CONTROLLERS) core.powerLoss(name);
  await core.world.advance(500);
  core.startAll();
  expect(await core.until(10_000, () => core.whole(CONTROLLERS))).toBe(true);
  await expectRepeatsRecognised(operator, CONTROLLERS);
  expect(core.broken).toEqual([]);
});

test.each([1, 2, 3, 4])(
  'a change resent after the member that accepted it was replaced is the same change (seed %i)',
  async (seed) => {
    const { core, operator } = await createBootstrappedCore(50 + seed);
    await submitTwoChanges(operator);
    core.powerLoss('h3');
    await operator.ordinaryEntries('h2');
    const successor = core.addNode('h4').name;
    core.seeds(['h1', 'h2']);
    core.start(successor);
    const members = ['h1', 'h2', successor];
    expect(await core.until(12_000, () => core.whole(members))).toBe(true);
    core.powerLoss('h1');
    expect(await operator.replace(successor, 7, 8)).toEqual(taken(8));
    await expectRepeatsRecognised(operator, ['h2', successor]);
    expect(core.broken).toEqual([]);
  },
);

type OperatorResponse = { readonly status: number; readonly version: number };

async function createHttpCore(seed: number): Promise<{
  readonly core: SimCore;
  readonly post: (node: string, path: string, body: object) => Promise<OperatorResponse>;
}> {
  const core = createSimCore(seed, { controllers: 3, seeds: 3, regionMs: 35, operatorHttpServer: true });
  const { httpClient } = core.lab('operator');
  core.startAll();
  expect(await core.until(4_000, () => core.whole(CONTROLLERS))).toBe(true);
  async function post(node: string, path: string, body: object): Promise<OperatorResponse> {
    const response = await core.runUntilSettled(
      httpClient.call({ method: 'POST', address: `${core.node(node).wire}0`, path, body, timeoutMs: 8_000 }),
      10_000,
    );
    if (!response?.ok) return { status: 0, version: -1 };
    return {
      status: response.value.status,
      version: (response.value.body as { readonly version?: number }).version ?? -1,
    };
  }
  return { core, post };
}

async function addOrdinaryEntries(core: SimCore): Promise<void> {
  const ledger = core.node('h2').controller?.ledger;
  const all = Array.from({ length: ORDINARY_ENTRIES }, async (_, target) =>
    ledger?.propose({ cause: 'A test.', act: { tag: 'targetChanged', model: 'm', target } }, 9_000),
  );
  expect((await core.runUntilSettled(Promise.all(all), 10_000))?.every((result) => result?.ok)).toBe(true);
}

test('a change with an operation id is recognised after ordinary entries; another id on the same version is stale', async () => {
  const { core, post } = await createHttpCore(61);
  const configuration = { zones: { z: { region: 'r' } }, deployment: {}, regions: {} };
  const first = await post('h1', '/v1/configuration', { base: 0, configuration, operation: 'first' });
  expect(first.status).toBe(200);
  const changes = [{ path: ['deployment', 'nExtra'], value: 3 }];
  const second = await post('h3', '/v1/configuration/amend', { base: first.version, changes, operation: 'second' });
  expect(second.status).toBe(200);
  await addOrdinaryEntries(core);
  for (const node of CONTROLLERS) {
    expect(await post(node, '/v1/configuration', { base: 0, configuration, operation: 'first' })).toEqual(first);
    expect(await post(node, '/v1/configuration/amend', { base: first.version, changes, operation: 'second' })).toEqual(
      second,
    );
    expect(
      (await post(node, '/v1/configuration/amend', { base: first.version, changes, operation: 'third' })).status,
    ).toBe(409);
  }
  expect(core.node('h1').controller?.ledger.controlState().version).toBe(second.version);
});

test('an order on a zone with an operation id is applied once, also when resent after the order that reverts it', async () => {
  const { core, post } = await createHttpCore(62);
  const configuration = { zones: { z: { region: 'r' } }, deployment: {}, regions: {} };
  expect((await post('h1', '/v1/configuration', { base: 0, configuration })).status).toBe(200);
  const begun = await post('h1', '/v1/zones/z/evacuate', { operation: 'begin' });
  expect(begun.status).toBe(200);
  expect((await post('h2', '/v1/zones/z/restore', { operation: 'finish' })).status).toBe(200);
  await addOrdinaryEntries(core);
  for (const node of CONTROLLERS)
    expect(await post(node, '/v1/zones/z/evacuate', { operation: 'begin' })).toEqual(begun);
  expect(core.node('h3').controller?.ledger.controlState().evacuated).toEqual({});
});
