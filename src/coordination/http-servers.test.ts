import { beforeAll, describe, expect, test } from '@jest/globals';
import { runKey } from '../state/idempotency/run-key.js';
import { SIM_WALL } from '../sim/world.js';
import { createSimFleet } from '../sim/sim-fleet.js';
import type { SimFleet } from '../sim/sim-fleet.js';

let fleet: SimFleet;
beforeAll(async () => {
  fleet = createSimFleet(71);
  expect(await fleet.start()).toBe(true);
});

type Got = { readonly status: number; readonly body: unknown; readonly headers: Readonly<Record<string, string>> };
async function call(
  address: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
  headers = {},
): Promise<Got> {
  const response = await fleet.call({ method, address, path, headers, ...(body === undefined ? {} : { body }) });
  if (!response.ok) throw new Error(response.error.tag);
  return { status: response.value.status, body: response.value.body, headers: response.value.headers };
}
function proxy(i: number): string {
  return fleet.proxies[i]?.http ?? '';
}
const ask = { model: 'summary', inputTokens: 10, outputTokens: 8, parts: ['a'], repeatable: true };
const submit = { parts: [{ hash: 'a', tokens: 10 }], outputTokens: 8, stream: false };
type Placement = {
  readonly address: string;
  readonly ticket: string;
  readonly requestId: string;
  readonly proxy: string;
};
async function placed(over: object = {}): Promise<Placement> {
  const response = await call(proxy(0), 'POST', '/v1/place', { ...ask, ...over });
  expect(response.status).toBe(200);
  return response.body as Placement;
}
function send(p: Placement, over: object = {}, address = p.address): Promise<Got> {
  return call(
    address,
    'POST',
    '/v1/requests',
    { ...submit, requestId: p.requestId, ...over },
    { 'x-millfield-ticket': p.ticket },
  );
}
function rejection(reason: string): unknown {
  return { error: { tag: 'shed', notRun: true, reason } };
}

describe("the callers' server", () => {
  test.each<[string, unknown]>([
    ['no model', { ...ask, model: undefined }],
    ['both model and mapping', { ...ask, mapping: 'x' }],
    ['a negative count', { ...ask, inputTokens: -1 }],
    ['an unknown key', { ...ask, colour: 'red' }],
    ['no body', undefined],
  ])('place turns away %s', async (_what, body) => {
    const response = await call(proxy(0), 'POST', '/v1/place', body ?? 7);
    expect([response.status, (response.body as { error: { tag: string } }).error.tag]).toEqual([400, 'malformed']);
  });

  test('a place answer goes by the zone of the caller, whichever proxy it asked', async () => {
    for (const [zone, proxy] of [
      ['ro-1', 'proxy-ro-1-1'],
      ['at-1', 'proxy-at-1-1'],
      ['nowhere', 'proxy-hu-1-1'],
    ]) {
      expect((await placed({ model: 'card-gateway', zone })).proxy).toBe(proxy);
    }
  });

  test('an unknown model or mapping is told as such', async () => {
    for (const over of [{ model: 'ghost' }, { model: undefined, mapping: 'ghost' }]) {
      const response = await call(proxy(1), 'POST', '/v1/place', { ...ask, ...over });
      expect([response.status, response.body]).toEqual([404, { error: { tag: 'unknownModel' } }]);
    }
  });

  test('homes that no worker stands in are shed, not run', async () => {
    const response = await call(proxy(0), 'POST', '/v1/place', {
      ...ask,
      model: 'card-gateway',
      kind: 'card',
      homes: ['romania'],
    });
    expect([response.status, response.body]).toEqual([503, rejection('outsideHomes')]);
  });

  test('a ticket serves once, at its proxy, in its time', async () => {
    const p = await placed();
    const other = fleet.proxies.find((s) => s.http !== p.address)?.http ?? '';
    expect(await send(p, {}, other)).toMatchObject({ status: 409, body: rejection('ticketForeign') });
    expect((await send(p)).status).toBe(200);
    expect(await send(p)).toMatchObject({ status: 409, body: rejection('ticketUsed') });
    const late = await placed();
    await fleet.run(31_000);
    expect(await send(late)).toMatchObject({ status: 409, body: rejection('ticketExpired') });
    expect(await send({ ...p, ticket: 'rubbish' })).toMatchObject({ status: 409, body: rejection('ticketForeign') });
    const bare = await call(p.address, 'POST', '/v1/requests', { ...submit, requestId: p.requestId });
    expect(bare.status).toBe(400);
  });

  test('a body of the wrong shape, for another request, or too large is turned away', async () => {
    expect(await send(await placed(), { outputTokens: 'many' })).toMatchObject({ status: 400 });
    expect(await send(await placed(), { requestId: 'another' })).toMatchObject({
      status: 409,
      body: rejection('ticketForeign'),
    });
    const parts = [{ hash: 'a', tokens: 10, text: 'x'.repeat(1_100_000) }];
    expect(await send(await placed(), { parts })).toMatchObject({
      status: 413,
      body: { error: { tag: 'bodyTooLarge' } },
    });
  });

  const KEY = runKey('k-1', SIM_WALL);

  test('a key must bear the time of its making, and be of the last day', async () => {
    const once = { model: 'card-gateway', kind: 'card', repeatable: false };
    const now = SIM_WALL + fleet.world.now();
    const told = async (key: string): Promise<unknown[]> => {
      const response = await send(await placed(once), { key });
      return [response.status, (response.body as { error?: { tag: string } }).error?.tag ?? 'ran'];
    };
    expect(await told('auth-991')).toEqual([400, 'malformed']);
    expect(await told(runKey('late', now + 13 * 3_600_000))).toEqual([400, 'malformed']);
    expect(await told(runKey('old', now - 25 * 3_600_000))).toEqual([409, 'keyTooOld']);
    expect(await told(runKey('yesterday', now - 23 * 3_600_000))).toEqual([200, 'ran']);
    const repeatable = await send(await placed(), { key: 'anything' });
    expect(repeatable.status).toBe(200);
  });

  test('a key that ran is answered as such, wherever it is sent again', async () => {
    const once = { model: 'card-gateway', kind: 'card', repeatable: false };
    expect((await send(await placed(once), { key: KEY })).status).toBe(200);
    await fleet.run(200);
    expect(await send(await placed(once), { key: KEY })).toMatchObject({
      status: 409,
      body: { error: { tag: 'alreadyAnswered' } },
    });
  });
});

describe("the operators' server", () => {
  async function version(): Promise<number> {
    return ((await call(fleet.controllers[0]?.http ?? '', 'GET', '/v1/configuration')).body as { version: number })
      .version;
  }
  function core(method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<Got> {
    return call(fleet.controllers[0]?.http ?? '', method, path, body);
  }

  test('a stale base loses and is told the winner; an invalid change is never agreed', async () => {
    const base = await version();
    const changes = [
      { path: ['deployment', 'nExtra'], value: 1 },
      { path: ['deployment', 'lineLimit'], value: 50 },
    ];
    const won = await core('POST', '/v1/configuration/amend', { base, changes });
    expect(won.status).toBe(200);
    const lost = await core('POST', '/v1/configuration/amend', { base, changes });
    expect([lost.status, lost.body]).toEqual([409, { error: { tag: 'staleVersion', winner: await version() } }]);
    const bad = await core('POST', '/v1/configuration/amend', {
      base: await version(),
      changes: [
        { path: ['deployment', 'nExtra'], value: -1 },
        { path: ['x'], value: 1 },
      ],
    });
    expect(bad.status).toBe(422);
    expect((bad.body as { error: { faults: { path: string }[] } }).error.faults.map((f) => f.path).sort()).toEqual([
      '/deployment/nExtra',
      '/x',
    ]);
    expect((await core('POST', '/v1/configuration/amend', { base: 'x' })).status).toBe(400);
  });

  test.each<[string, unknown]>([
    ['a table where a number is due', { path: ['deployment', 'nExtra'], value: { a: 1 } }],
    ['a number where a table is due', { path: ['regions', 'hungary', 'models'], value: 7 }],
    ['a list where a region is due', { path: ['regions', 'hungary'], value: [] }],
    ['a home that is no list', { path: ['regions', 'hungary', 'models', 'summary', 'homes', 'x'], value: 'hungary' }],
    ['nothing at the top', { path: [], value: null }],
    ['a name of the language', { path: ['deployment', '__proto__', 'nExtra'], value: 1 }],
  ])('a wrong type at any depth is told with its place, and not agreed: %s', async (_what, change) => {
    const base = await version();
    const response = await core('POST', '/v1/configuration/amend', { base, changes: [change] });
    expect(response.status).toBe(422);
    expect((response.body as { error: { faults: { path: string }[] } }).error.faults.length).toBeGreaterThan(0);
    expect(await version()).toBe(base);
  });

  test('a difference too large for one entry, and an operation unknown, are refused', async () => {
    const mappings = Object.fromEntries(
      Array.from({ length: 60_000 }, (_, i) => [
        `route-${i}`,
        { model: 'summary', kind: `kind-of-request-number-${i}` },
      ]),
    );
    const response = await core('POST', '/v1/configuration/amend', {
      base: await version(),
      changes: [{ path: ['mappings'], value: mappings }],
    });
    expect([response.status, (response.body as { error: { tag: string } }).error.tag]).toEqual([
      413,
      'changesTooLarge',
    ]);
    expect((await core('POST', '/v1/configuration/burn', {})).status).toBe(404);
    expect(
      (await core('POST', '/v1/configuration', { base: await version(), configuration: {}, colour: 1 })).status,
    ).toBe(400);
  });

  test('read back tells raw, resolved, and the level of each value', async () => {
    const response = (await core('GET', '/v1/configuration')).body as {
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

  test('unknown zones, doings twice, and a second bootstrap are refused', async () => {
    expect((await core('POST', '/v1/zones/mars/evacuate', {})).status).toBe(404);
    expect((await core('POST', '/v1/zones/hu-1/restore', {})).body).toEqual({ error: { tag: 'unchanged' } });
    expect((await core('DELETE', '/v1/proxies/nobody')).status).toBe(409);
    const again = await core('POST', '/v1/bootstrap', { members: fleet.controllers.map((h) => h.wire) });
    expect([again.status, again.body]).toEqual([
      409,
      { error: { tag: 'alreadyBootstrapped', member: 'controller-1' } },
    ]);
  });

  test('every node tells its metrics', async () => {
    for (const address of [fleet.controllers[0]?.http ?? '', proxy(0)])
      expect((await call(address, 'GET', '/metrics')).status).toBe(200);
  });

  test('without a majority nothing is acknowledged', async () => {
    fleet.kill('controller-2');
    fleet.kill('controller-3');
    await fleet.run(3_000);
    expect((await core('GET', '/v1/configuration')).status).toBe(503);
    expect(
      (await core('POST', '/v1/configuration/amend', { base: 1, changes: [{ path: ['deployment'], value: {} }] }))
        .status,
    ).toBe(503);
    const p = await placed({ model: 'card-gateway', kind: 'card', repeatable: false });
    expect(await send(p)).toMatchObject({ status: 503, body: rejection('noMajority') });
    expect((await send(await placed())).status).toBe(200);
  });
});
