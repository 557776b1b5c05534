/** Responses of each endpoint of a controller that is partitioned from the majority, during the fault and after it. */
import { describe, expect, test } from '@jest/globals';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';
import type { HttpClient } from '../transport/http.js';
import type { Clock } from '../transport/clock.js';
import type { CoreHealth } from '../state/membership/core-health.js';
import { createConfigurationService } from './configuration/configuration-service.js';
import { createQuietLog } from '../transport/log.js';

/** How long a controller may still consider itself in contact: the maximum age of a valid response, and one tick. */
const CONTACT_TIMEOUT_MS = 2_200;
const FAULT_DURATION_MS = 20_000;

type Call = { readonly method: 'GET' | 'POST'; readonly path: string; readonly body?: unknown };
/** One response of the controller under test; `status` is 0 if no response arrived. */
type RecordedResponse = {
  readonly path: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly status: number;
  readonly body: Record<string, unknown>;
  /** The body if it is text, otherwise empty. */
  readonly text: string;
};

const CONFIGURATION: Call = { method: 'GET', path: '/v1/configuration' };
const STATUS: Call = { method: 'GET', path: '/v1/status' };
const METRICS: Call = { method: 'GET', path: '/metrics' };
const LATENCY_TARGETS: Call = { method: 'GET', path: '/v1/aims' };
const ORDERS: Call = { method: 'GET', path: '/v1/orders' };
const LEDGER: Call = { method: 'GET', path: '/v1/ledger?from=0' };

function amend(base: number, value: number): Call {
  return {
    method: 'POST',
    path: '/v1/configuration/amend',
    body: { base, changes: [{ path: ['deployment', 'lineLimit'], value }] },
  };
}
function evacuate(zone: string): Call {
  return { method: 'POST', path: `/v1/zones/${zone}/evacuate`, body: {} };
}

/** A fault injected into the first controller, and how it is ended. */
type Fault = {
  readonly begin: (fleet: SimFleet) => void;
  readonly end: (fleet: SimFleet) => void;
  readonly isFrozen?: boolean;
};
const CONTROLLER_UNDER_TEST = 'controller-1';
const OTHERS = ['controller-2', 'controller-3'];

function partitionFromOthers(fleet: SimFleet, outbound: boolean, inbound: boolean): void {
  for (const other of OTHERS) {
    if (outbound) fleet.world.cut(CONTROLLER_UNDER_TEST, other);
    if (inbound) fleet.world.cut(other, CONTROLLER_UNDER_TEST);
  }
}
function heal(fleet: SimFleet): void {
  fleet.world.healAll();
}
function partitionAndRestart(fleet: SimFleet): void {
  partitionFromOthers(fleet, true, true);
  fleet.world.at(800, () => {
    fleet.kill(CONTROLLER_UNDER_TEST);
    void fleet.startNode(CONTROLLER_UNDER_TEST);
  });
}
const FAULTS: Readonly<Record<string, Fault>> = {
  'partitioned from the other controllers': { begin: (f) => partitionFromOthers(f, true, true), end: heal },
  'partitioned from all nodes': { begin: (f) => f.isolate([CONTROLLER_UNDER_TEST]), end: heal },
  'unable to send to the other controllers': { begin: (f) => partitionFromOthers(f, true, false), end: heal },
  'unable to receive from the other controllers': { begin: (f) => partitionFromOthers(f, false, true), end: heal },
  'partitioned and restarted meanwhile': { begin: partitionAndRestart, end: heal },
  'frozen for 20 s': {
    begin: (f) => f.world.freeze(f.hostOf(CONTROLLER_UNDER_TEST)),
    end: (f) => f.world.thaw(f.hostOf(CONTROLLER_UNDER_TEST)),
    isFrozen: true,
  },
};

type Harness = {
  readonly fleet: SimFleet;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly responses: RecordedResponse[];
  readonly send: (call: Call) => void;
};

async function createHarness(seed: number): Promise<Harness> {
  const fleet = createSimFleet(seed);
  expect(await fleet.start()).toBe(true);
  await fleet.run(4_000);
  const proc = fleet.world.startProcess(fleet.world.host('desk', 'lab'));
  const httpClient = fleet.httpClientOf(proc);
  const responses: RecordedResponse[] = [];
  function send(call: Call): void {
    const sentAt = fleet.world.now();
    const { path } = call;
    void httpClient.call({ ...call, address: fleet.controllers[0]?.http ?? '', timeoutMs: 12_000 }).then((response) => {
      const answered = response.ok ? response.value : { status: 0, body: {} };
      const text = typeof answered.body === 'string' ? answered.body : '';
      const body = answered.body as Record<string, unknown>;
      responses.push({ path, sentAt, answeredAt: fleet.world.now(), status: answered.status, body, text });
    });
  }
  return { fleet, httpClient, clock: fleet.world.clockOf(proc), responses, send };
}

type AcknowledgedChange = { readonly version: number; readonly at: number };
/** Makes a change that another controller acknowledges while the first controller is faulty. */
async function changeAtOtherController(harness: Harness, base: number): Promise<AcknowledgedChange> {
  const response = await harness.fleet.operator(
    1,
    'POST',
    '/v1/configuration/amend',
    (amend(base, 77) as { readonly body: unknown }).body,
  );
  if (!response.ok || ![200, 202].includes(response.value.status))
    throw new Error(`the change was not accepted: ${JSON.stringify(response)}`);
  return { version: (response.value.body as { readonly version: number }).version, at: harness.fleet.world.now() };
}
async function currentVersion(harness: Harness): Promise<number> {
  const response = await harness.fleet.operator(0, 'GET', '/v1/configuration');
  return response.ok ? (response.value.body as { readonly version: number }).version : -1;
}

type Run = {
  readonly harness: Harness;
  readonly during: readonly RecordedResponse[];
  readonly after: readonly RecordedResponse[];
  readonly change: AcknowledgedChange;
  readonly base: number;
  readonly startedAt: number;
  readonly endedAt: number;
};

async function runFault(fault: Fault, seed: number): Promise<Run> {
  const harness = await createHarness(seed);
  const base = await currentVersion(harness);
  const startedAt = harness.fleet.world.now();
  fault.begin(harness.fleet);
  await harness.fleet.run(1_000);
  const change = await changeAtOtherController(harness, base);
  while (harness.fleet.world.now() < startedAt + FAULT_DURATION_MS) {
    for (const call of [
      CONFIGURATION,
      STATUS,
      METRICS,
      LATENCY_TARGETS,
      ORDERS,
      LEDGER,
      amend(base, 55),
      evacuate('at-1'),
    ])
      harness.send(call);
    await harness.fleet.run(700);
  }
  const during = [...harness.responses];
  const endedAt = harness.fleet.world.now();
  fault.end(harness.fleet);
  for (let n = 0; n < 60; n += 1) {
    for (const call of [CONFIGURATION, STATUS]) harness.send(call);
    await harness.fleet.run(n < 40 ? 25 : 250);
  }
  await harness.fleet.run(13_000);
  return { harness, during, after: harness.responses.slice(during.length), change, base, startedAt, endedAt };
}
function responsesTo(responses: readonly RecordedResponse[], call: Call): RecordedResponse[] {
  return responses.filter((t) => t.path === call.path);
}
function coreHealthIn(t: RecordedResponse): CoreHealth {
  return (t.body['core'] as { readonly ledger: CoreHealth }).ledger;
}

describe.each(Object.entries(FAULTS))('a controller that is %s', (_what, fault) => {
  test.each([1, 2])(
    'confirms nothing that needs a majority, and reports only its local state (seed %i)',
    async (seed) => {
      const { during, after, change, base, startedAt, harness } = await runFault(fault, 500 + seed);
      const answered = during.filter((t) => t.status !== 0);

      for (const t of [...responsesTo(answered, CONFIGURATION)])
        expect([t.status, (t.body['error'] as { readonly tag: string }).tag]).toEqual([
          503,
          expect.stringMatching(/noMajority/),
        ]);
      for (const call of [amend(base, 55), evacuate('at-1')])
        for (const t of responsesTo(answered, call)) expect([call.path, t.status]).toEqual([call.path, 503]);
      for (const t of answered) expect(t.answeredAt - t.sentAt).toBeLessThan(5_200);

      const lateResponses = answered.filter((t) => t.sentAt > startedAt + CONTACT_TIMEOUT_MS);
      for (const t of responsesTo(lateResponses, LATENCY_TARGETS)) expect(t.status).toBe(503);
      for (const t of responsesTo(lateResponses, STATUS)) {
        expect([
          t.status,
          t.body['quorate'],
          coreHealthIn(t).holdingAll,
          coreHealthIn(t).spareLosses,
          coreHealthIn(t).warning,
        ]).toEqual([200, false, null, null, 'noMajority']);
        expect([base, change.version]).toContain(t.body['version']);
      }
      for (const t of responsesTo(lateResponses, METRICS)) {
        expect(t.text).toContain('millfield_core_known{group="ledger"} 0');
        expect(t.text).not.toContain('millfield_core_spare_losses{group="ledger"}');
      }
      for (const call of [ORDERS, LEDGER])
        for (const t of responsesTo(lateResponses, call))
          expect([t.status, typeof t.body['slot']]).toEqual([200, 'number']);
      if (fault.isFrozen) expect(answered).toEqual([]);
      else expect(responsesTo(lateResponses, STATUS).length).toBeGreaterThan(10);

      for (const t of responsesTo(after, CONFIGURATION))
        if (t.status === 200) expect(t.body['version']).toBeGreaterThanOrEqual(change.version);
      for (const t of responsesTo(after, STATUS)) {
        if (t.status !== 200 || coreHealthIn(t).spareLosses !== 1) continue;
        expect(t.body['version']).toBeGreaterThanOrEqual(change.version);
      }
      const last = await harness.fleet.operator(0, 'GET', '/v1/configuration');
      expect(last.ok && (last.value.body as { readonly version: number }).version).toBeGreaterThanOrEqual(
        change.version,
      );
    },
  );

  test('serves reads again within two seconds after the fault, and accepts an order', async () => {
    const { after, endedAt, harness } = await runFault(fault, 510);
    const reads = responsesTo(after, CONFIGURATION).filter((t) => t.status === 200);
    expect(Math.min(...reads.map((t) => t.answeredAt)) - endedAt).toBeLessThan(2_000);
    const evacuation = await harness.fleet.operator(0, 'POST', '/v1/zones/ro-1/evacuate', {});
    expect(evacuation.ok && evacuation.value.status).toBe(200);
  });

  test('the operator’s configuration service confirms no read, change or evacuation, and responds in time', async () => {
    const harness = await createHarness(520);
    fault.begin(harness.fleet);
    await harness.fleet.run(2_000);
    const controller = harness.fleet.controllers[0]?.controller;
    if (!controller) throw new Error('controller-1 is not running');
    const service = createConfigurationService({
      ...controller,
      clock: harness.clock,
      log: createQuietLog().component('operator'),
    });
    const startedAt = harness.fleet.world.now();
    const read = await harness.fleet.runUntilSettled(service.read(), 10_000);
    expect(harness.fleet.world.now() - startedAt).toBeLessThanOrEqual(1_000);
    const evacuation = await harness.fleet.runUntilSettled(
      service.evacuate('at-1', true, { gone: () => false }),
      10_000,
    );
    expect([read, evacuation]).toEqual([
      { ok: false, error: { tag: 'noMajority' } },
      { ok: false, error: { tag: 'noMajority' } },
    ]);
  });
});
