import { expect, test } from '@jest/globals';
import { DEFAULT_HEADER_NAMES as HEADERS } from '../../protocol/header-names.js';
import { createAttemptBudget } from '../../state/forwarding/attempt-budget.js';
import type { BudgetBounds } from '../../state/forwarding/attempt-budget.js';
import { createRouteTable } from '../../state/configuration/route-table.js';
import { EDGE_TUNING } from '../../state/forwarding/edge-tuning.js';
import { DEFAULT_LIMITS } from '../../state/configuration/serving.js';
import type { RouteSettings, Serving } from '../../state/configuration/serving.js';
import { createWorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { createWorld } from '../../sim/world.js';
import { every, yieldToEventLoop } from '../../transport/clock.js';
import { createQuietLog } from '../../transport/log.js';
import type {
  OpaqueRequest,
  ConnectionPool,
  RawHeaders,
  SendEvents,
  OutgoingRequest,
} from '../../transport/opaque-http.js';
import { createRng } from '../../transport/rng.js';
import { createRelay } from './relay.js';
import type { DrainDeadlines } from './drain-admission.js';

const ROUTE_SETTINGS: RouteSettings = {
  at: 0,
  host: 'a.example',
  prefix: '/x/',
  kind: 'repeatable',
  resumable: false,
  pinned: false,
  rank: 0,
  deadlineMs: 5_000,
  aimMs: 800,
  pauseMs: null,
  attempts: 2,
  shares: [{ model: 'm', share: 1 }],
  split: false,
  homes: [],
};

type RecordedSend = {
  readonly sending: OutgoingRequest;
  readonly events: SendEvents;
  isAborted: boolean;
  headers: RawHeaders | null;
};
type CallerResponse = {
  status: number;
  headers: RawHeaders;
  body: string;
  isEnded: boolean;
  isAborted: boolean;
  error?: Error;
};

function entry(id: string, zone = 'z1', region = 'r1', overrides: Partial<WorkerEntry> = {}): WorkerEntry {
  return {
    id,
    model: 'm',
    address: `10.0.0.1:${id.length}`,
    zone,
    region,
    release: '',
    places: 4,
    leaving: false,
    remainingMs: null,
    coldMs: 0,
    ...overrides,
  };
}

const MODEL_TRAITS = { at: 0, probePath: '/h', maxConns: 100, coldS: 3, coldRateS: 10, engine: null };

async function createFixture(
  routeSettings: Partial<RouteSettings>,
  entries: readonly WorkerEntry[],
  bounds: BudgetBounds = { ratio: 0.2, slack: 50, windowMs: 10_000 },
) {
  const world = createWorld(7);
  const proc = world.startProcess(world.host('edge', 'z1'));
  const clock = world.clockOf(proc);
  const sent: RecordedSend[] = [];
  const checks: { address: string; done: (reached: boolean) => void }[] = [];
  let holdsConnections = false;
  function connect(send: RecordedSend): void {
    send.headers = send.sending.headers();
    if (send.headers === null) send.events.failed({ tag: 'withheld' });
  }
  const connectionPool: ConnectionPool = {
    send: (sending, events) => {
      const send: RecordedSend = { sending, events, isAborted: false, headers: null };
      sent.push(send);
      if (!holdsConnections) connect(send);
      return {
        abort: () => {
          send.isAborted = true;
        },
      };
    },
    check: (address, _waitMs, done) => {
      checks.push({ address, done });
    },
    open: () => 0,
    idle: () => 0,
    forget: () => undefined,
    totalDialled: () => 0,
    stop: () => undefined,
  };
  const serving: Serving = {
    number: 1,
    mappings: { r: { ...ROUTE_SETTINGS, ...routeSettings } },
    limits: DEFAULT_LIMITS,
    models: Object.fromEntries(entries.map(({ model }) => [model, MODEL_TRAITS])),
  };
  const table = createRouteTable(serving);
  const workerRegistry = createWorkerRegistry(
    { name: 's0', zone: 'z1', region: 'r1', openConnections: () => 1 },
    EDGE_TUNING,
  );
  workerRegistry.applyList(entries, clock.mono());
  const budget = createAttemptBudget(bounds);
  let closing = false;
  let stopTimes: DrainDeadlines | null = null;
  const relay = createRelay({
    headerNames: HEADERS,
    tuning: EDGE_TUNING,
    registry: workerRegistry,
    budget,
    connectionPool,
    clock,
    rng: createRng(1),
    log: createQuietLog().component('t'),
    routeTable: () => table,
    isClosing: () => closing,
    drainDeadlines: () => stopTimes,
  });
  function sendRequest(headers: Record<string, string> = {}): { response: CallerResponse; disconnect: () => void } {
    const response: CallerResponse = { status: 0, headers: [], body: '', isEnded: false, isAborted: false };
    const goneCallbacks: (() => void)[] = [];
    let isGone = false;
    const requestHeaders: Record<string, string> = { host: 'a.example', [HEADERS.attemptId]: 'q1', ...headers };
    const req: OpaqueRequest = {
      method: 'POST',
      target: '/x/1',
      headers: Object.entries(requestHeaders).flat(),
      get: (n) => requestHeaders[n] ?? null,
      body: () => Promise.resolve({ ok: true, value: Buffer.from('hi') }),
      responseWriter: {
        head: (status, head) => {
          const { error } = response;
          delete response.error;
          if (error) throw error;
          response.status = status;
          response.headers = head;
        },
        write: (b) => {
          response.body += b.toString();
        },
        end: () => {
          response.isEnded = true;
        },
        abort: () => {
          response.isAborted = true;
        },
        gone: () => isGone,
        begun: () => response.status !== 0,
        tryHold: () => true,
        onCallerGone: (fn) => {
          goneCallbacks.push(fn);
        },
      },
    };
    relay.handle(req);
    return {
      response,
      disconnect: () => {
        isGone = true;
        for (const fn of goneCallbacks) fn();
      },
    };
  }
  every(clock, 250, () => relay.tick());
  /**
   * Unfreezes the process and runs the callbacks that were deferred meanwhile, each with its microtasks, as an event
   * loop does.
   */
  async function unfreeze(): Promise<void> {
    proc.host.frozen = false;
    for (const fn of proc.host.deferredCallbacks.splice(0)) {
      fn();
      await yieldToEventLoop();
    }
  }
  function deliver(fn: () => void): void {
    world.run(proc, fn);
  }
  return {
    world,
    relay,
    sent,
    checks,
    sendRequest,
    workerRegistry,
    connect,
    holdConnections: () => {
      holdsConnections = true;
    },
    freeze: () => world.freeze(proc.host),
    unfreeze,
    deliver,
    close: () => {
      closing = true;
    },
    drain: (ms: number, intakeMs = 0) => {
      closing = true;
      stopTimes = { admitAllUntil: clock.mono() + intakeMs, lastResponseAt: clock.mono() + ms };
    },
  };
}

function respond(send: RecordedSend, body: string, id = 'q1'): void {
  const headers = { [HEADERS.attemptId]: id, [HEADERS.seal]: 's' } as Record<string, string>;
  send.events.head(200, Object.entries(headers).flat(), (n) => headers[n] ?? null);
  send.events.data(Buffer.from(body));
}
function rejectAsNotRun(send: RecordedSend): void {
  const headers = { [HEADERS.attemptId]: 'q1', [HEADERS.notRun]: '1' } as Record<string, string>;
  send.events.head(503, Object.entries(headers).flat(), (n) => headers[n] ?? null);
  send.events.end();
}

test('a complete response with a digest is forwarded with its digest', async () => {
  const fixture = await createFixture({}, [entry('w')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  respond(fixture.sent[0]!, 'out');
  expect(response.status).toBe(0);
  fixture.sent[0]!.events.end();
  await fixture.world.advance(1);
  expect(response).toMatchObject({ status: 200, body: 'out', isEnded: true, isAborted: false });
  expect(response.headers).toContain(HEADERS.seal);
});

test('a response to another request, without a digest or with a content encoding is never forwarded as a success', async () => {
  for (const badHeaders of [
    { [HEADERS.attemptId]: 'q9', [HEADERS.seal]: 's' },
    { [HEADERS.attemptId]: 'q1' },
    { [HEADERS.attemptId]: 'q1', [HEADERS.seal]: 's', 'content-encoding': 'gzip' },
  ] as Record<string, string>[]) {
    const fixture = await createFixture({ kind: 'once', attempts: 3 }, [entry('w'), entry('vv')]);
    const { response } = fixture.sendRequest();
    await fixture.world.advance(1);
    fixture.sent[0]!.events.head(200, Object.entries(badHeaders).flat(), (n) => badHeaders[n] ?? null);
    await fixture.world.advance(1);
    expect(response.status).toBe(502);
    expect(fixture.sent).toHaveLength(1);
    expect(fixture.sent[0]!.isAborted).toBe(true);
  }
});

test('a run-once request is sent to a second worker only if the first states that it did not run it', async () => {
  const fixture = await createFixture({ kind: 'once' }, [entry('w'), entry('vv')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  rejectAsNotRun(fixture.sent[0]!);
  await fixture.world.advance(1);
  expect(fixture.sent).toHaveLength(2);
  expect(fixture.sent[1]!.sending.address).not.toBe(fixture.sent[0]!.sending.address);
  fixture.sent[1]!.events.failed({ tag: 'reset' });
  await fixture.world.advance(1);
  expect(fixture.sent).toHaveLength(2);
  expect(response.status).toBe(502);
});

test('a request that may have run is never reported as not run', async () => {
  const fixture = await createFixture({ kind: 'once' }, [entry('w')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  const headers = { [HEADERS.attemptId]: 'q1' } as Record<string, string>;
  fixture.sent[0]!.events.head(503, Object.entries(headers).flat(), (n) => headers[n] ?? null);
  fixture.sent[0]!.events.end();
  await fixture.world.advance(1);
  expect(response.status).toBe(502);
});

test('a request is rejected at once, with a Retry-After header, when its attempts are used up', async () => {
  const fixture = await createFixture({ attempts: 1 }, [entry('w')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  rejectAsNotRun(fixture.sent[0]!);
  await fixture.world.advance(1);
  expect(response.status).toBe(503);
  expect(response.headers.join(' ')).toContain('Retry-After');
});

test('a resumable stream is resumed at another worker after its last event, as one response to the caller', async () => {
  const fixture = await createFixture({ kind: 'stream', resumable: true }, [entry('w'), entry('vv')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  respond(fixture.sent[0]!, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda');
  fixture.sent[0]!.events.failed({ tag: 'reset' });
  await fixture.world.advance(1);
  expect(fixture.sent).toHaveLength(2);
  const headers = fixture.sent[1]!.headers!;
  expect(headers[headers.indexOf(HEADERS.lastEvent) + 1]).toBe('2');
  respond(fixture.sent[1]!, 'id: 3\ndata: c\n\n');
  fixture.sent[1]!.events.end();
  await fixture.world.advance(1);
  expect(response).toMatchObject({
    status: 200,
    body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n',
    isEnded: true,
    isAborted: false,
  });
});

test('a stream that is not resumable is aborted, never ended, when the connection to its worker is reset', async () => {
  const fixture = await createFixture({ kind: 'stream' }, [entry('w'), entry('vv')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  respond(fixture.sent[0]!, 'id: 1\ndata: a\n\n');
  fixture.sent[0]!.events.failed({ tag: 'reset' });
  await fixture.world.advance(1);
  expect(response).toMatchObject({ isEnded: false, isAborted: true });
  expect(fixture.sent).toHaveLength(1);
});

test('a stream in which an event arrives twice is aborted, and the second one is not forwarded', async () => {
  const fixture = await createFixture({ kind: 'stream' }, [entry('w')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  respond(fixture.sent[0]!, 'id: 1\ndata: a\n\nid: 1\ndata: a\n\n');
  await fixture.world.advance(1);
  expect(response).toMatchObject({ body: 'id: 1\ndata: a\n\n', isEnded: false, isAborted: true });
});

test('a worker outside the home regions, leaving or in an evacuated zone is not selected', async () => {
  const fixture = await createFixture({ homes: ['r2'] }, [
    entry('w'),
    entry('vv', 'z2', 'r2', { leaving: true }),
    entry('uuu', 'z3', 'r2'),
  ]);
  const served = fixture.sendRequest();
  await fixture.world.advance(1);
  expect(fixture.sent[0]!.sending.address).toBe('10.0.0.1:3');
  fixture.workerRegistry.applyZones(
    { z3: 4 },
    () => [],
    0,
    () => 0,
  );
  const rejected = fixture.sendRequest();
  await fixture.world.advance(400);
  expect(fixture.sent).toHaveLength(1);
  expect(rejected.response.status).toBe(503);
  expect(served.response.status).toBe(0);
});

test('a cold worker gets no more requests than this proxy may send it at its cold rate', async () => {
  const fixture = await createFixture({ aimMs: 100 }, [entry('w', 'z1', 'r1', { coldMs: 60_000, places: 500 })]);
  fixture.workerRegistry.setSharingProxies(
    Object.fromEntries(['s0', 's1', 's2', 's3'].map((n) => [n, { region: 'r1' }])),
  );
  const requests = Array.from({ length: 30 }, () => fixture.sendRequest());
  await fixture.world.advance(60);
  expect(fixture.sent.length).toBe(4);
  expect(requests.filter((request) => request.response.status === 503)).toHaveLength(26);
});

test('a request waits for a free slot, the more urgent first, and is sent when one is free', async () => {
  const fixture = await createFixture({}, [entry('w', 'z1', 'r1', { places: 1 })]);
  fixture.sendRequest();
  await fixture.world.advance(1);
  fixture.sendRequest();
  await fixture.world.advance(50);
  expect(fixture.sent).toHaveLength(1);
  respond(fixture.sent[0]!, 'out');
  fixture.sent[0]!.events.end();
  await fixture.world.advance(30);
  expect(fixture.sent).toHaveLength(2);
});

test('the attempt at a worker is aborted when the caller disconnects', async () => {
  const fixture = await createFixture({}, [entry('w')]);
  const { disconnect } = fixture.sendRequest();
  await fixture.world.advance(1);
  disconnect();
  expect(fixture.sent[0]!.isAborted).toBe(true);
  await fixture.world.advance(10);
  expect(fixture.relay.tally().open).toBe(0);
});

test('a stream is resumed at another worker when its worker is unresponsive and cannot be reached', async () => {
  const fixture = await createFixture({ kind: 'stream', resumable: true }, [entry('w'), entry('vv', 'z2')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  respond(fixture.sent[0]!, 'id: 1\ndata: a\n\n');
  await fixture.world.advance(400);
  expect(fixture.checks).toHaveLength(0);
  await fixture.world.advance(250);
  expect(fixture.checks).toHaveLength(1);
  fixture.checks[0]!.done(false);
  await fixture.world.advance(1);
  expect(fixture.sent).toHaveLength(2);
  respond(fixture.sent[1]!, 'id: 2\ndata: b\n\n');
  fixture.sent[1]!.events.end();
  await fixture.world.advance(1);
  expect(response).toMatchObject({ body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isEnded: true });
});

test('a stream stays with a quiet worker that can be reached; a run-once request stays with an unreachable worker', async () => {
  const slow = await createFixture({ kind: 'stream', resumable: true }, [entry('w'), entry('vv')]);
  slow.sendRequest();
  await slow.world.advance(700);
  slow.checks[0]!.done(true);
  await slow.world.advance(500);
  expect(slow.sent).toHaveLength(1);
  const once = await createFixture({ kind: 'once' }, [entry('w'), entry('vv', 'z2')]);
  const { response } = once.sendRequest();
  await once.world.advance(700);
  once.checks[0]!.done(false);
  await once.world.advance(100);
  expect(once.sent).toHaveLength(1);
  expect(response.status).toBe(0);
});

test('workers in the zone of an unreachable worker are probed before they get more requests', async () => {
  const fixture = await createFixture({}, [entry('w'), entry('vv'), entry('uuu', 'z2')]);
  fixture.sendRequest();
  await fixture.world.advance(1);
  fixture.sent[0]!.events.failed({ tag: 'notConnected' });
  await fixture.world.advance(1);
  expect(fixture.sent.map((s) => s.sending.address)).toEqual([fixture.sent[0]!.sending.address, '10.0.0.1:3']);
  expect(fixture.checks).toHaveLength(1);
  fixture.checks[0]!.done(true);
  fixture.sendRequest();
  fixture.sendRequest();
  await fixture.world.advance(1);
  expect(fixture.sent.slice(2).map((s) => s.sending.address)).toContain(fixture.checks[0]!.address);
});

test('a request that was partly written when its connection closed may have run: a run-once request is not sent again', async () => {
  for (const [kind, attempts] of [
    ['once', 1],
    ['repeatable', 2],
  ] as const) {
    const fixture = await createFixture({ kind, attempts: 3 }, [entry('w'), entry('vv')]);
    const { response } = fixture.sendRequest();
    await fixture.world.advance(1);
    fixture.sent[0]!.events.failed({ tag: 'resetPartlyWritten' });
    await fixture.world.advance(1);
    expect(fixture.sent).toHaveLength(attempts);
    expect(response.status).toBe(kind === 'once' ? 502 : 0);
  }
});

test('Retry-After is much longer, and sent at once, if no worker is available in the home regions than if all are busy', async () => {
  async function retryAfterS(entries: readonly WorkerEntry[], isBusy: boolean): Promise<number> {
    const fixture = await createFixture({ aimMs: 100, homes: ['r2'], deadlineMs: 15_000 }, entries);
    if (isBusy) fixture.sendRequest();
    await fixture.world.advance(1);
    const { response } = fixture.sendRequest();
    await fixture.world.advance(60);
    expect(response.status).toBe(503);
    return Number(response.headers[response.headers.indexOf('Retry-After') + 1]);
  }
  expect(await retryAfterS([entry('w')], false)).toBeGreaterThan(4);
  expect(await retryAfterS([entry('w', 'z2', 'r2', { places: 1 })], true)).toBeLessThan(2);
});

test('a request is forwarded unchanged, under its own id, and names the worker that it is sent to', async () => {
  const fixture = await createFixture({ kind: 'once' }, [entry('w')]);
  fixture.sendRequest({ 'x-own': 'kept', connection: 'close', [HEADERS.expectWorker]: 'somebody' });
  await fixture.world.advance(1);
  const { sending } = fixture.sent[0]!;
  const sent = new Map<string, string>();
  const raw = fixture.sent[0]!.headers!;
  for (let i = 0; i + 1 < raw.length; i += 2) sent.set(raw[i]!, raw[i + 1]!);
  expect({ method: sending.method, target: sending.target, body: sending.body?.toString() }).toEqual({
    method: 'POST',
    target: '/x/1',
    body: 'hi',
  });
  expect(sent.get('host')).toBe('a.example');
  expect(sent.get(HEADERS.attemptId)).toBe('q1');
  expect(sent.get('x-own')).toBe('kept');
  expect(sent.has('connection')).toBe(false);
  expect(sent.get(HEADERS.expectWorker)).toBe('w');
});

test('an address at which another worker responds gets no more requests; the request is retried elsewhere as not run', async () => {
  const fixture = await createFixture({ kind: 'once' }, [entry('w'), entry('vv')]);
  fixture.sendRequest();
  await fixture.world.advance(1);
  const relocatedAddress = fixture.sent[0]!.sending.address;
  rejectFor(fixture.sent[0]!, 421, 'q1');
  await fixture.world.advance(1);
  expect(fixture.sent).toHaveLength(2);
  for (let i = 0; i < 4; i += 1) fixture.sendRequest();
  await fixture.world.advance(1);
  expect(fixture.sent.length).toBeGreaterThan(2);
  expect(fixture.sent.slice(1).map((s) => s.sending.address)).not.toContain(relocatedAddress);
});

test('a stream whose worker ends it within an event is aborted, not ended', async () => {
  const fixture = await createFixture({ kind: 'stream' }, [entry('w')]);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  respond(fixture.sent[0]!, 'id: 1\ndata: a\n\nid: 2\nda');
  fixture.sent[0]!.events.end();
  await fixture.world.advance(1);
  expect(response).toMatchObject({ body: 'id: 1\ndata: a\n\n', isEnded: false, isAborted: true });
});

function rejectFor(send: RecordedSend, status: number, id: string | null): void {
  const headers: Record<string, string> = {
    [HEADERS.notRun]: '1',
    ...(id === null ? {} : { [HEADERS.attemptId]: id }),
  };
  send.events.head(status, Object.entries(headers).flat(), (n) => headers[n] ?? null);
  send.events.end();
}

test('a statement that another request was not run does not count for this one', async () => {
  for (const status of [421, 429, 503]) {
    const fixture = await createFixture({ kind: 'once', attempts: 3 }, [entry('w'), entry('vv')]);
    const { response } = fixture.sendRequest();
    await fixture.world.advance(1);
    rejectFor(fixture.sent[0]!, status, 'q9');
    await fixture.world.advance(1);
    expect(fixture.sent).toHaveLength(1);
    expect(response.status).toBe(502);
  }
});

test('a rejection without an id counts as the response to this attempt only on a new connection', async () => {
  for (const isNewConnection of [true, false]) {
    const fixture = await createFixture({ kind: 'once', attempts: 1 }, [entry('w')]);
    const { response } = fixture.sendRequest();
    await fixture.world.advance(1);
    if (isNewConnection) fixture.sent[0]!.events.connected!(1);
    rejectFor(fixture.sent[0]!, 503, null);
    await fixture.world.advance(1);
    expect(response.status).toBe(isNewConnection ? 503 : 502);
  }
});

test('the digest of a worker is not forwarded under another status than its own', async () => {
  for (const [workerStatus, callerStatus] of [
    [503, 502],
    [429, 502],
    [408, 502],
    [500, 500],
  ] as const) {
    const fixture = await createFixture({ kind: 'once' }, [entry('w')]);
    const { response } = fixture.sendRequest();
    await fixture.world.advance(1);
    const headers = { [HEADERS.attemptId]: 'q1', [HEADERS.seal]: 's' } as Record<string, string>;
    fixture.sent[0]!.events.head(workerStatus, Object.entries(headers).flat(), (n) => headers[n] ?? null);
    fixture.sent[0]!.events.end();
    await fixture.world.advance(1);
    expect(response.status).toBe(callerStatus);
    expect(response.headers.includes(HEADERS.seal)).toBe(workerStatus === callerStatus);
  }
});

test('many failures at the same moment do not take more attempts from the retry budget than it holds', async () => {
  const fixture = await createFixture(
    {},
    [entry('w', 'z1', 'r1', { places: 200 }), entry('vv', 'z1', 'r1', { places: 200 })],
    {
      ratio: 0.1,
      slack: 20,
      windowMs: 10_000,
    },
  );
  for (let i = 0; i < 100; i += 1) fixture.sendRequest();
  await fixture.world.advance(1);
  expect(fixture.sent).toHaveLength(100);
  const failing = fixture.sent.filter((s) => s.sending.address === fixture.sent[0]!.sending.address);
  expect(failing.length).toBeGreaterThan(40);
  for (const s of failing) s.events.failed({ tag: 'reset' });
  await fixture.world.advance(1_000);
  expect(fixture.sent.length - 100).toBeGreaterThan(0);
  expect(fixture.sent.length - 100).toBeLessThanOrEqual(0.1 * 100 + 20);
});

test('a stream with an event that has no number is not resumed', async () => {
  for (const [text, isResumed] of [
    ['id: 1\ndata: a\n\n: still here\n\n', true],
    ['id: 1\ndata: a\n\ndata: b\n\n', false],
    ['data: a\n\n', false],
  ] as const) {
    const fixture = await createFixture({ kind: 'stream', resumable: true }, [entry('w'), entry('vv')]);
    const { response } = fixture.sendRequest();
    await fixture.world.advance(1);
    respond(fixture.sent[0]!, text);
    fixture.sent[0]!.events.failed({ tag: 'reset' });
    await fixture.world.advance(1);
    expect([fixture.sent.length, response.isAborted]).toEqual(isResumed ? [2, false] : [1, true]);
  }
});

function deadlineOf(send: RecordedSend): number {
  return Number(send.headers![send.headers!.indexOf(HEADERS.deadline) + 1]);
}

test('a request that waited while its proxy was frozen is not sent if its caller disconnected or its deadline passed', async () => {
  for (const [kind, cause] of [
    ['once', 'disconnected'],
    ['once', 'expired'],
    ['repeatable', 'disconnected'],
    ['repeatable', 'expired'],
  ] as const) {
    const fixture = await createFixture({ kind, deadlineMs: cause === 'expired' ? 2_000 : 9_000, aimMs: 20_000 }, [
      entry('w', 'z1', 'r1', { places: 1 }),
    ]);
    fixture.sendRequest();
    const { response, disconnect } = fixture.sendRequest();
    await fixture.world.advance(300);
    expect(fixture.sent).toHaveLength(1);
    fixture.freeze();
    await fixture.world.advance(10);
    fixture.deliver(() => respond(fixture.sent[0]!, 'out'));
    fixture.deliver(() => fixture.sent[0]!.events.end());
    await fixture.world.advance(3_990);
    if (cause === 'disconnected') fixture.deliver(disconnect);
    await fixture.unfreeze();
    await fixture.world.advance(500);
    expect(fixture.sent).toHaveLength(1);
    expect([response.status, fixture.relay.tally().open]).toEqual([cause === 'expired' ? 503 : 0, 0]);
  }
});

test('a request that waited while its proxy was frozen is sent once if there is time left', async () => {
  const fixture = await createFixture({ kind: 'once', deadlineMs: 9_000, aimMs: 40_000 }, [
    entry('w', 'z1', 'r1', { places: 1 }),
  ]);
  fixture.sendRequest();
  const { response } = fixture.sendRequest();
  await fixture.world.advance(300);
  fixture.freeze();
  await fixture.world.advance(10);
  fixture.deliver(() => respond(fixture.sent[0]!, 'out'));
  fixture.deliver(() => fixture.sent[0]!.events.end());
  await fixture.world.advance(3_990);
  await fixture.unfreeze();
  await fixture.world.advance(500);
  expect(fixture.sent).toHaveLength(2);
  expect(deadlineOf(fixture.sent[1]!)).toBeLessThanOrEqual(9_000 - 4_300);
  respond(fixture.sent[1]!, 'out');
  fixture.sent[1]!.events.end();
  await fixture.world.advance(1);
  expect([response.status, fixture.sent.length]).toEqual([200, 2]);
});

test('a request that arrived while its proxy was frozen is not sent if its caller has disconnected since', async () => {
  for (const frozenMs of [700, 2_000]) {
    const fixture = await createFixture({ kind: 'once' }, [entry('w')]);
    await fixture.world.advance(300);
    fixture.freeze();
    await fixture.world.advance(frozenMs);
    let disconnect = (): void => undefined;
    fixture.deliver(() => {
      disconnect = fixture.sendRequest().disconnect;
    });
    fixture.deliver(() => disconnect());
    await fixture.unfreeze();
    await fixture.world.advance(500);
    expect(fixture.sent).toHaveLength(0);
  }
});

test('the deadline sent to a worker is the time left when the request is written', async () => {
  const fixture = await createFixture({ kind: 'once', deadlineMs: 5_000 }, [entry('w')]);
  fixture.holdConnections();
  fixture.sendRequest({ [HEADERS.deadline]: '3000' });
  await fixture.world.advance(240);
  fixture.connect(fixture.sent[0]!);
  expect(deadlineOf(fixture.sent[0]!)).toBeLessThanOrEqual(2_760);
  expect(deadlineOf(fixture.sent[0]!)).toBeGreaterThan(2_700);
});

test('no request is written to a connection that comes up after the deadline or after the caller disconnected', async () => {
  for (const isDisconnected of [true, false]) {
    const fixture = await createFixture({ kind: 'once', deadlineMs: 1_000 }, [entry('w')]);
    fixture.holdConnections();
    const { response, disconnect } = fixture.sendRequest();
    await fixture.world.advance(10);
    if (isDisconnected) disconnect();
    fixture.freeze();
    await fixture.world.advance(2_000);
    fixture.deliver(() => fixture.connect(fixture.sent[0]!));
    await fixture.unfreeze();
    await fixture.world.advance(200);
    expect(fixture.sent.map((s) => s.headers)).toEqual([null]);
    expect(response.status).toBe(isDisconnected ? 0 : 503);
  }
});

test('a draining proxy admits only requests that will end before it does', async () => {
  const stream = { kind: 'stream', deadlineMs: 15_000, aimMs: 800 } as const;
  const plain = { kind: 'repeatable', deadlineMs: 6_000, aimMs: 400 } as const;
  for (const [routeSettings, headers, remainingMs, isAdmitted] of [
    [stream, { [HEADERS.tokens]: '600,500' }, 4_000, false],
    [stream, { [HEADERS.tokens]: '600,100' }, 4_000, false],
    [stream, { [HEADERS.tokens]: '600,100', [HEADERS.deadline]: '3000' }, 4_000, true],
    [stream, { [HEADERS.tokens]: '600,500', [HEADERS.deadline]: '3000' }, 4_000, true],
    [plain, {}, 4_000, true],
    [plain, {}, 500, false],
  ] as const) {
    const fixture = await createFixture(routeSettings, [entry('w')]);
    fixture.drain(remainingMs);
    const { response } = fixture.sendRequest(headers);
    await fixture.world.advance(1);
    expect(fixture.sent).toHaveLength(isAdmitted ? 1 : 0);
    if (isAdmitted) continue;
    expect(response.status).toBe(503);
    expect(response.headers).toEqual(expect.arrayContaining(['Retry-After', 'Connection', 'close']));
  }
});

// Guards against an estimate by a fixed rate: streams that busy workers had not finished were truncated at the end.
test('a draining proxy admits a stream only if it will end in time even when it is as slow as earlier streams', async () => {
  const fixture = await createFixture({ kind: 'stream', deadlineMs: 15_000, aimMs: 800 }, [entry('w')]);
  const headers = { [HEADERS.tokens]: '600,100' };
  fixture.sendRequest(headers);
  await fixture.world.advance(3_000);
  respond(fixture.sent[0]!, 'id: 1\ndata: x\n\n');
  fixture.sent[0]!.events.end();
  await fixture.world.advance(1);
  fixture.drain(3_500);
  const { response } = fixture.sendRequest(headers);
  await fixture.world.advance(1);
  expect(response.status).toBe(503);
  expect(fixture.sent).toHaveLength(1);
});

// Guards against truncating a stream that arrived long after the stop: the time in which its prompt is read can't be
// estimated.
test.each([
  ['its deadline comes after the end of the process', 5_000, 503, 0],
  ['its deadline comes before the end of the process', 3_000, 0, 1],
])(
  'a stream that arrives at a proxy that has been draining for a while: %s',
  async (_case, deadlineMs, status, sent) => {
    const fixture = await createFixture({ kind: 'stream', deadlineMs, aimMs: 800 }, [entry('w')]);
    fixture.drain(4_000);
    const { response } = fixture.sendRequest({ [HEADERS.tokens]: '600,10' });
    await fixture.world.advance(1);
    expect(response.status).toBe(status);
    expect(fixture.sent).toHaveLength(sent);
  },
);

// Guards against a process that ends and closes the connections of waiting callers without a final response.
test('a proxy that ends sends 503 for unsent requests and 502 for those that may run, and aborts started responses', async () => {
  const fixture = await createFixture({ kind: 'stream', deadlineMs: 15_000 }, [entry('w', 'z1', 'r1', { places: 2 })]);
  const started = fixture.sendRequest().response;
  const sent = fixture.sendRequest().response;
  await fixture.world.advance(1);
  respond(fixture.sent[0]!, 'id: 1\ndata: x\n\n');
  const waiting = fixture.sendRequest().response;
  await fixture.world.advance(1);
  expect([fixture.sent.length, started.status, sent.status, waiting.status]).toEqual([2, 200, 0, 0]);
  fixture.relay.abortAll();
  expect(started).toMatchObject({ status: 200, isAborted: true });
  expect(sent).toMatchObject({ status: 502, isEnded: true });
  expect(waiting).toMatchObject({ status: 503, isEnded: true });
});

// Guards against a request that is rejected as not run just before the process ends, and then sent to its worker.
test('an aborted request is not sent any more, neither when its connection comes up nor from the queue', async () => {
  const fixture = await createFixture({ kind: 'once', deadlineMs: 15_000 }, [entry('w', 'z1', 'r1', { places: 1 })]);
  fixture.holdConnections();
  const connecting = fixture.sendRequest().response;
  await fixture.world.advance(1);
  const waiting = fixture.sendRequest().response;
  await fixture.world.advance(1);
  fixture.relay.abortAll();
  expect([connecting.status, waiting.status]).toEqual([503, 503]);
  fixture.connect(fixture.sent[0]!);
  fixture.relay.wake();
  await fixture.world.advance(500);
  expect(fixture.sent.map((sending) => sending.headers)).toEqual([null]);
});

test('a second attempt at the same worker uses a new connection, where no response to the first can be outstanding', async () => {
  const fixture = await createFixture({ kind: 'once', attempts: 3 }, [entry('w')]);
  fixture.sendRequest();
  await fixture.world.advance(1);
  rejectFor(fixture.sent[0]!, 503, 'q1');
  await fixture.world.advance(400);
  expect(fixture.sent.map((s) => [s.sending.address, s.sending.requiresNewConnection])).toEqual([
    ['10.0.0.1:1', false],
    ['10.0.0.1:1', true],
  ]);
});

// Guards against an error in one request that nothing catches: it ended the process.
test('an error in the handling of one request ends only that request, which is not counted as open any more', async () => {
  const fixture = await createFixture({}, [entry('w')]);
  const failing = fixture.sendRequest().response;
  failing.error = new Error('no such status');
  await fixture.world.advance(1);
  respond(fixture.sent[0]!, 'out');
  fixture.sent[0]!.events.end();
  await fixture.world.advance(1);
  expect(failing).toMatchObject({ status: 500, isEnded: true });
  expect(fixture.relay.tally().open).toBe(0);
  const { response } = fixture.sendRequest();
  await fixture.world.advance(1);
  respond(fixture.sent[1]!, 'out');
  fixture.sent[1]!.events.end();
  await fixture.world.advance(1);
  expect(response).toMatchObject({ status: 200, body: 'out', isEnded: true });
});

// Guards against counts in a plain object: for a service named as a property of Object.prototype the count was a text,
// so that controllers refused each report of the proxy and knew no proxy once they had been restarted.
test.each(['constructor', 'toString', 'valueOf'])('requests of a service named %s are counted', async (model) => {
  const fixture = await createFixture({ shares: [{ model, share: 1 }] }, [entry('w', 'z1', 'r1', { model })]);
  fixture.sendRequest();
  await fixture.world.advance(10);
  expect(fixture.relay.tally().requests).toEqual({ [model]: 1 });
});
