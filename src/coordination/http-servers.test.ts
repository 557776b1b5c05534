import { beforeAll, describe, expect, test } from '@jest/globals';
import { runKey } from '../state/idempotency/run-key.js';
import { SIM_START_WALL_MS } from '../sim/world.js';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';

let fleet: SimFleet;
beforeAll(async () => {
  fleet = createSimFleet(71);
  expect(await fleet.start()).toBe(true);
});

type HttpResult = {
  readonly status: number;
  readonly body: unknown;
  readonly headers: Readonly<Record<string, string>>;
};
async function call(
  address: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
  headers = {},
): Promise<HttpResult> {
  const response = await fleet.call({ method, address, path, headers, ...(body === undefined ? {} : { body }) });
  if (!response.ok) throw new Error(response.error.tag);
  return { status: response.value.status, body: response.value.body, headers: response.value.headers };
}
function proxyAddress(i: number): string {
  return fleet.proxies[i]?.http ?? '';
}
const placeRequest = { model: 'summary', inputTokens: 10, outputTokens: 8, parts: ['a'], repeatable: true };
const submission = { parts: [{ hash: 'a', tokens: 10 }], outputTokens: 8, stream: false };
type Placement = {
  readonly address: string;
  readonly ticket: string;
  readonly requestId: string;
  readonly proxy: string;
};
async function place(overrides: object = {}): Promise<Placement> {
  const response = await call(proxyAddress(0), 'POST', '/v1/place', { ...placeRequest, ...overrides });
  expect(response.status).toBe(200);
  return response.body as Placement;
}
function send(placement: Placement, overrides: object = {}, address = placement.address): Promise<HttpResult> {
  return call(
    address,
    'POST',
    '/v1/requests',
    { ...submission, requestId: placement.requestId, ...overrides },
    { 'x-millfield-ticket': placement.ticket },
  );
}
function rejection(reason: string): unknown {
  return { error: { tag: 'shed', notRun: true, reason } };
}

describe("the callers' HTTP server", () => {
  test.each<[string, unknown]>([
    ['no model', { ...placeRequest, model: undefined }],
    ['both model and mapping', { ...placeRequest, mapping: 'x' }],
    ['a negative count', { ...placeRequest, inputTokens: -1 }],
    ['an unknown key', { ...placeRequest, colour: 'red' }],
    ['no body', undefined],
  ])('place rejects %s', async (_what, body) => {
    const response = await call(proxyAddress(0), 'POST', '/v1/place', body ?? 7);
    expect([response.status, (response.body as { error: { tag: string } }).error.tag]).toEqual([400, 'malformed']);
  });

  test('the proxy in a place response depends on the zone of the caller, not on the proxy that was asked', async () => {
    for (const [zone, proxy] of [
      ['ro-1', 'proxy-ro-1-1'],
      ['at-1', 'proxy-at-1-1'],
      ['nowhere', 'proxy-hu-1-1'],
    ]) {
      expect((await place({ model: 'card-gateway', zone })).proxy).toBe(proxy);
    }
  });

  test('an unknown model or mapping is reported as unknownModel', async () => {
    for (const overrides of [{ model: 'ghost' }, { model: undefined, mapping: 'ghost' }]) {
      const response = await call(proxyAddress(1), 'POST', '/v1/place', { ...placeRequest, ...overrides });
      expect([response.status, response.body]).toEqual([404, { error: { tag: 'unknownModel' } }]);
    }
  });

  test('a request whose homes have no worker is shed and marked as not run', async () => {
    const response = await call(proxyAddress(0), 'POST', '/v1/place', {
      ...placeRequest,
      model: 'card-gateway',
      kind: 'card',
      homes: ['romania'],
    });
    expect([response.status, response.body]).toEqual([503, rejection('outsideHomes')]);
  });

  test('a ticket is valid once, at its own proxy, until it expires', async () => {
    const placement = await place();
    const other = fleet.proxies.find((s) => s.http !== placement.address)?.http ?? '';
    expect(await send(placement, {}, other)).toMatchObject({ status: 409, body: rejection('ticketForeign') });
    expect((await send(placement)).status).toBe(200);
    expect(await send(placement)).toMatchObject({ status: 409, body: rejection('ticketUsed') });
    const expired = await place();
    await fleet.run(31_000);
    expect(await send(expired)).toMatchObject({ status: 409, body: rejection('ticketExpired') });
    expect(await send({ ...placement, ticket: 'rubbish' })).toMatchObject({
      status: 409,
      body: rejection('ticketForeign'),
    });
    const withoutTicket = await call(placement.address, 'POST', '/v1/requests', {
      ...submission,
      requestId: placement.requestId,
    });
    expect(withoutTicket.status).toBe(400);
  });

  test('a body that is malformed, for another request, or too large is rejected', async () => {
    expect(await send(await place(), { outputTokens: 'many' })).toMatchObject({ status: 400 });
    expect(await send(await place(), { requestId: 'another' })).toMatchObject({
      status: 409,
      body: rejection('ticketForeign'),
    });
    const parts = [{ hash: 'a', tokens: 10, text: 'x'.repeat(1_100_000) }];
    expect(await send(await place(), { parts })).toMatchObject({
      status: 413,
      body: { error: { tag: 'bodyTooLarge' } },
    });
  });

  const KEY = runKey('k-1', SIM_START_WALL_MS);

  test('a key must contain its creation time, and be at most one day old', async () => {
    const notRepeatable = { model: 'card-gateway', kind: 'card', repeatable: false };
    const now = SIM_START_WALL_MS + fleet.world.now();
    const sendWithKey = async (key: string): Promise<unknown[]> => {
      const response = await send(await place(notRepeatable), { key });
      return [response.status, (response.body as { error?: { tag: string } }).error?.tag ?? 'ran'];
    };
    expect(await sendWithKey('auth-991')).toEqual([400, 'malformed']);
    expect(await sendWithKey(runKey('late', now + 13 * 3_600_000))).toEqual([400, 'malformed']);
    expect(await sendWithKey(runKey('old', now - 25 * 3_600_000))).toEqual([409, 'keyTooOld']);
    expect(await sendWithKey(runKey('yesterday', now - 23 * 3_600_000))).toEqual([200, 'ran']);
    const repeatable = await send(await place(), { key: 'anything' });
    expect(repeatable.status).toBe(200);
  });

  test('a key that ran is rejected as alreadyAnswered, whichever proxy it is sent to again', async () => {
    const notRepeatable = { model: 'card-gateway', kind: 'card', repeatable: false };
    expect((await send(await place(notRepeatable), { key: KEY })).status).toBe(200);
    await fleet.run(200);
    expect(await send(await place(notRepeatable), { key: KEY })).toMatchObject({
      status: 409,
      body: { error: { tag: 'alreadyAnswered' } },
    });
  });
});

describe("the operators' HTTP server", () => {
  async function version(): Promise<number> {
    return ((await call(fleet.controllers[0]?.http ?? '', 'GET', '/v1/configuration')).body as { version: number })
      .version;
  }
  function callController(method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<HttpResult> {
    return call(fleet.controllers[0]?.http ?? '', method, path, body);
  }

  test('a change with a stale base is rejected with the winning version; an invalid change is never agreed', async () => {
    const base = await version();
    const changes = [
      { path: ['deployment', 'nExtra'], value: 1 },
      { path: ['deployment', 'lineLimit'], value: 50 },
    ];
    const accepted = await callController('POST', '/v1/configuration/amend', { base, changes });
    expect(accepted.status).toBe(200);
    const rejected = await callController('POST', '/v1/configuration/amend', { base, changes });
    expect([rejected.status, rejected.body]).toEqual([
      409,
      { error: { tag: 'staleVersion', winner: await version() } },
    ]);
    const invalid = await callController('POST', '/v1/configuration/amend', {
      base: await version(),
      changes: [
        { path: ['deployment', 'nExtra'], value: -1 },
        { path: ['x'], value: 1 },
      ],
    });
    expect(invalid.status).toBe(422);
    expect((invalid.body as { error: { faults: { path: string }[] } }).error.faults.map((f) => f.path).sort()).toEqual([
      '/deployment/nExtra',
      '/x',
    ]);
    expect((await callController('POST', '/v1/configuration/amend', { base: 'x' })).status).toBe(400);
  });

  test.each<[string, unknown]>([
    ['an object where a number is expected', { path: ['deployment', 'nExtra'], value: { a: 1 } }],
    ['a number where an object is expected', { path: ['regions', 'hungary', 'models'], value: 7 }],
    ['a list where a region is expected', { path: ['regions', 'hungary'], value: [] }],
    [
      'homes that are not a list',
      { path: ['regions', 'hungary', 'models', 'summary', 'homes', 'x'], value: 'hungary' },
    ],
    ['null at the top level', { path: [], value: null }],
    ['a reserved property name of the language', { path: ['deployment', '__proto__', 'nExtra'], value: 1 }],
  ])('a wrong type at any depth is reported with its path, and not agreed: %s', async (_what, change) => {
    const base = await version();
    const response = await callController('POST', '/v1/configuration/amend', { base, changes: [change] });
    expect(response.status).toBe(422);
    expect((response.body as { error: { faults: { path: string }[] } }).error.faults.length).toBeGreaterThan(0);
    expect(await version()).toBe(base);
  });

  test('a change too large for one log entry, an unknown operation and an unknown key are rejected', async () => {
    const mappings = Object.fromEntries(
      Array.from({ length: 60_000 }, (_, i) => [
        `route-${i}`,
        { model: 'summary', kind: `kind-of-request-number-${i}` },
      ]),
    );
    const response = await callController('POST', '/v1/configuration/amend', {
      base: await version(),
      changes: [{ path: ['mappings'], value: mappings }],
    });
    expect([response.status, (response.body as { error: { tag: string } }).error.tag]).toEqual([
      413,
      'changesTooLarge',
    ]);
    expect((await callController('POST', '/v1/configuration/burn', {})).status).toBe(404);
    expect(
      (await callController('POST', '/v1/configuration', { base: await version(), configuration: {}, colour: 1 }))
        .status,
    ).toBe(400);
  });

  test('reading the configuration returns the raw and the resolved values, and the level of each value', async () => {
    const response = (await callController('GET', '/v1/configuration')).body as {
      configuration: object;
      resolved: { model: string; values: Record<string, unknown>; levels: Record<string, string> }[];
    };
    const summary = response.resolved.find((r) => r.model === 'summary');
    expect(response.configuration).toMatchObject({ deployment: { lineLimit: 50 } });
    expect([
      summary?.values['lineLimit'],
      summary?.levels['lineLimit'],
      summary?.levels['minTarget'],
      summary?.levels['qTar'],
    ]).toEqual([50, 'deployment', 'model', 'default']);
  });

  test('unknown zones and proxies, repeated operations, and a second bootstrap are rejected', async () => {
    expect((await callController('POST', '/v1/zones/mars/evacuate', {})).status).toBe(404);
    expect((await callController('POST', '/v1/zones/hu-1/restore', {})).body).toEqual({ error: { tag: 'unchanged' } });
    expect((await callController('DELETE', '/v1/proxies/nobody')).status).toBe(409);
    const again = await callController('POST', '/v1/bootstrap', { members: fleet.controllers.map((h) => h.wire) });
    expect([again.status, again.body]).toEqual([
      409,
      { error: { tag: 'alreadyBootstrapped', member: 'controller-1' } },
    ]);
  });

  test('every node serves its metrics', async () => {
    for (const address of [fleet.controllers[0]?.http ?? '', proxyAddress(0)])
      expect((await call(address, 'GET', '/metrics')).status).toBe(200);
  });

  test('without a majority no read, change or run-once request is acknowledged', async () => {
    fleet.kill('controller-2');
    fleet.kill('controller-3');
    await fleet.run(3_000);
    expect((await callController('GET', '/v1/configuration')).status).toBe(503);
    expect(
      (
        await callController('POST', '/v1/configuration/amend', {
          base: 1,
          changes: [{ path: ['deployment'], value: {} }],
        })
      ).status,
    ).toBe(503);
    const placement = await place({ model: 'card-gateway', kind: 'card', repeatable: false });
    expect(await send(placement)).toMatchObject({ status: 503, body: rejection('noMajority') });
    expect((await send(await place())).status).toBe(200);
  });
});
