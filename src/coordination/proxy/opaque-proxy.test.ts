import { expect, test } from '@jest/globals';
import { DEFAULT_HEADER_NAMES as HEADERS } from '../../protocol/header-names.js';
import { createSimCore } from '../../sim/sim-core.js';
import { routeSettings } from '../../sim/builders.js';
import { EDGE_TUNING } from '../../state/forwarding/edge-tuning.js';
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { Report } from '../../state/distribution/report.js';
import type { Serving } from '../../state/configuration/serving.js';
import { createQuietLog } from '../../transport/log.js';
import type { ConnectionPool, OpaqueLimits, OpaqueRequest, SendEvents } from '../../transport/opaque-http.js';
import { createRng } from '../../transport/rng.js';
import { startOpaqueProxy } from './opaque-proxy.js';

const SERVING: Serving = {
  number: 1,
  limits: DEFAULT_LIMITS,
  mappings: {
    r: routeSettings({ prefix: '/x/', kind: 'once', pinned: false, deadlineMs: 20_000 }),
  },
  models: { m: { at: 0, probePath: '/h', maxConns: 100, coldS: 3, coldRateS: 10, engine: null } },
};

/** `isConfiguredBeforeListening`: the first configuration arrives while the proxy still waits for its front address. */
async function createHarness(seed: number, isConfiguredBeforeListening = false) {
  const core = createSimCore(seed, { controllers: 3, seeds: 3, regionMs: 20 });
  core.startAll();
  const names = core.nodes.map((n) => n.name);
  expect(await core.until(20_000, () => core.whole(names))).toBe(true);
  core.world.host('s1', 'zone-h1');
  const { wire, clock } = core.lab('s1');
  const sent: SendEvents[] = [];
  const connectionPool: ConnectionPool = {
    send: (_what, events) => {
      sent.push(events);
      return { abort: () => undefined };
    },
    check: () => undefined,
    open: () => 0,
    idle: () => 0,
    forget: () => undefined,
    totalDialled: () => 0,
    stop: () => undefined,
  };
  const httpServers: ((req: OpaqueRequest) => void)[] = [];
  const stoppedListening: number[] = [];
  const refusals: { at: number; afterMs: number }[] = [];
  const limits: OpaqueLimits[] = [];
  let onConfigured = (): void => undefined;
  const configured = new Promise<void>((resolve) => (onConfigured = resolve));
  let unsentCount = 0;
  let hasList = true;
  let notifyListChanged = (): void => undefined;
  const started = startOpaqueProxy(
    {
      name: 's1',
      run: 'run-1',
      zone: 'zone-h1',
      region: 'zone-h1',
      listen: '10.0.1.1:9000',
      front: '10.0.1.1:80',
      seeds: core.nodes.map((n) => n.wire),
    },
    {
      clock,
      rng: createRng(seed),
      wire,
      logs: createQuietLog(),
      headerNames: HEADERS,
      tuning: EDGE_TUNING,
      connectionPool,
      httpServer: {
        open: async (address, handle) => {
          httpServers.push(handle);
          if (isConfiguredBeforeListening) await configured;
          return {
            ok: true,
            value: {
              address,
              close: () => Promise.resolve(),
              inFlight: () => unsentCount,
              rejectIncomplete: (afterMs) => void refusals.push({ at: clock.mono(), afterMs }),
              stopListening: () => {
                stoppedListening.push(clock.mono());
              },
              setLimits: (set) => void limits.push(set),
            },
          };
        },
      },
      createFeed: () => ({
        entries: () => [
          {
            id: 'w',
            model: 'm',
            address: '10.0.0.9:1',
            zone: 'zone-h1',
            region: 'zone-h1',
            release: '',
            places: 4,
            leaving: false,
            remainingMs: null,
            coldMs: 0,
          },
        ],
        asOf: () => (hasList ? clock.mono() : null),
        events: {
          on: (_name, fn) => {
            notifyListChanged = fn as () => void;
          },
        },
        stop: () => undefined,
      }),
    },
  );
  if (isConfiguredBeforeListening) {
    await core.world.advance(1_000);
    await configure();
    await core.world.advance(1_000);
    onConfigured();
  }
  const result = await core.runUntilSettled(started, 5_000);
  if (!result?.ok) throw new Error('the proxy did not start');
  const proxy = result.value;
  notifyListChanged();
  const responses: { status: number; headers: string[]; ended: boolean }[] = [];
  function sendRequest(path = '/x/1'): void {
    const response = { status: 0, headers: [] as string[], ended: false };
    responses.push(response);
    const headers: Record<string, string> = { host: 'a.example', [HEADERS.attemptId]: `q${responses.length}` };
    httpServers[0]?.({
      method: 'POST',
      target: path,
      headers: Object.entries(headers).flat(),
      get: (name) => headers[name] ?? null,
      body: () => Promise.resolve({ ok: true, value: Buffer.from('hi') }),
      responseWriter: {
        head: (status, rawHeaders) => {
          response.status = status;
          response.headers = [...rawHeaders];
        },
        write: () => undefined,
        end: () => {
          response.ended = true;
        },
        abort: () => undefined,
        gone: () => false,
        tryHold: () => true,
        begun: () => response.status !== 0,
        onCallerGone: () => undefined,
      },
    });
  }
  function respond(index: number): void {
    const headers = { [HEADERS.attemptId]: `q${index + 1}`, [HEADERS.seal]: 's' } as Record<string, string>;
    sent[index]?.head(200, Object.entries(headers).flat(), (name) => headers[name] ?? null);
    sent[index]?.data(Buffer.from('out'));
    sent[index]?.end();
  }
  function reported(): Report | undefined {
    return core.node('h1').controller!.distribution.reports().get('s1');
  }
  async function configure(): Promise<void> {
    const ledger = core.node('h1').controller!.ledger;
    const proposal = ledger.propose(
      {
        id: 'first',
        cause: 'A test configures.',
        act: {
          tag: 'configured',
          base: ledger.controlState().version,
          changes: [{ path: ['serving'], value: SERVING }],
        },
      },
      2_000,
    );
    expect((await core.runUntilSettled(proposal, 10_000))?.ok).toBe(true);
  }
  return {
    core,
    clock,
    proxy,
    sent,
    limits,
    responses,
    sendRequest,
    respond,
    configure,
    stoppedListening,
    refusals,
    reported,
    setUnsentCount: (count: number) => {
      unsentCount = count;
    },
    setHasList: (isKnown: boolean) => {
      hasList = isKnown;
    },
  };
}

test.each([1, 2])(
  'a stopping proxy reports not ready at once, and ends only when all requests that it admitted are answered (seed %i)',
  async (seed) => {
    const harness = await createHarness(seed);
    await harness.configure();
    expect(await harness.core.until(5_000, () => harness.proxy.ready())).toBe(true);
    harness.sendRequest();
    await harness.core.world.advance(10);
    expect(harness.sent).toHaveLength(1);
    let ended = false;
    void harness.proxy.drain(8_000).then(() => {
      ended = true;
    });
    expect(harness.proxy.ready()).toBe(false);
    await harness.core.world.advance(5_000);
    expect(ended).toBe(false);
    harness.respond(0);
    await harness.core.world.advance(200);
    expect(harness.responses[0]).toMatchObject({ status: 200, ended: true });
    expect(harness.responses[0]!.headers).toContain('Connection');
    expect(ended).toBe(true);
  },
);

test('a stopping proxy reports itself as draining for a while, and accepts no new connection near its end', async () => {
  const harness = await createHarness(5);
  await harness.configure();
  expect(await harness.core.until(5_000, () => harness.proxy.ready())).toBe(true);
  harness.sendRequest();
  await harness.core.world.advance(10);
  const startedAt = harness.clock.mono();
  void harness.proxy.drain(8_000);
  await harness.core.world.advance(1_800);
  expect(harness.reported()).toMatchObject({ ready: false, draining: true });
  await harness.core.world.advance(900);
  expect(harness.reported()?.draining).toBeUndefined();
  await harness.core.world.advance(3_700);
  expect(harness.stoppedListening).toEqual([]);
  await harness.core.world.advance(300);
  expect(harness.stoppedListening[0]! - startedAt).toBeLessThanOrEqual(6_600);
  harness.respond(0);
  await harness.core.world.advance(200);
  expect(harness.responses[0]).toMatchObject({ status: 200, ended: true });
});

// A drain that ended too early truncated a response that its worker had completed and its caller had not yet received.
test('a stopping proxy ends only when the callers have its responses, and rejects requests that arrive too slowly', async () => {
  const harness = await createHarness(6);
  await harness.configure();
  expect(await harness.core.until(5_000, () => harness.proxy.ready())).toBe(true);
  harness.sendRequest();
  await harness.core.world.advance(10);
  harness.setUnsentCount(1);
  const startedAt = harness.clock.mono();
  let ended = false;
  void harness.proxy.drain(8_000).then(() => {
    ended = true;
  });
  harness.respond(0);
  await harness.core.world.advance(2_850);
  expect(harness.refusals).toEqual([]);
  await harness.core.world.advance(2_000);
  expect(harness.refusals[0]).toMatchObject({ afterMs: 500 });
  expect(harness.refusals[0]!.at - startedAt).toBeLessThan(3_000);
  expect(ended).toBe(false);
  harness.setUnsentCount(0);
  await harness.core.world.advance(100);
  expect(ended).toBe(true);
});

test('a request that arrives before the first configuration waits for it, and is not rejected', async () => {
  const harness = await createHarness(3);
  harness.sendRequest();
  await harness.core.world.advance(300);
  expect(harness.responses[0]!.status).toBe(0);
  await harness.configure();
  expect(await harness.core.until(900, () => harness.sent.length === 1)).toBe(true);
});

test('a request without a known worker list or configuration gets 503 with Retry-After, never that it has no route', async () => {
  const harness = await createHarness(4);
  harness.setHasList(false);
  harness.sendRequest();
  await harness.core.world.advance(3_000);
  expect(harness.responses[0]!.status).toBe(503);
  expect(harness.responses[0]!.headers).toContain('Retry-After');
  expect(harness.sent).toHaveLength(0);
});

// A request that was read between the last check for open requests and the end of the drain got no response.
test('a stopping proxy without open requests stops listening in the same tick in which its drain ends', async () => {
  const harness = await createHarness(7);
  await harness.configure();
  expect(await harness.core.until(5_000, () => harness.proxy.ready())).toBe(true);
  let endedAt = 0;
  void harness.proxy.drain(8_000).then(() => {
    endedAt = harness.clock.mono();
  });
  await harness.core.world.advance(3_200);
  expect(endedAt).toBeGreaterThan(0);
  expect(harness.stoppedListening).toEqual([endedAt]);
});

// Guards against a proxy that ends at its start because its routes arrive before its front address is available.
test('routes that arrive while the proxy waits for its address are in force once it listens', async () => {
  const { limits, proxy, core } = await createHarness(8, true);
  expect(limits.at(-1)).toEqual(DEFAULT_LIMITS);
  expect(await core.until(5_000, () => proxy.ready())).toBe(true);
});
