/**
 * A simulated day of one proxy's opaque server: callers of all kinds, faulty workers, and a proxy process that may be
 * paused once. It is determined by a seed, uses no sockets, and is checked against what callers and workers recorded.
 */
import { DEFAULT_HEADER_NAMES } from '../protocol/header-names.js';
import { createAttemptBudget } from '../state/forwarding/attempt-budget.js';
import { EDGE_TUNING } from '../state/forwarding/edge-tuning.js';
import { createRouteTable } from '../state/configuration/route-table.js';
import type { RouteTable } from '../state/configuration/route-table.js';
import { DEFAULT_LIMITS } from '../state/configuration/serving.js';
import type { RouteSettings } from '../state/configuration/serving.js';
import { createWorkerRegistry } from '../state/discovery/worker-registry.js';
import type { WorkerEntry } from '../state/discovery/worker-entry.js';
import { every, yieldToEventLoop } from '../transport/clock.js';
import { createQuietLog } from '../transport/log.js';
import type { ConnectionPool, OpaqueRequest } from '../transport/opaque-http.js';
import { createRng } from '../transport/rng.js';
import type { Relay, RelayDeps } from '../coordination/forwarding/relay.js';
import { requestBodyOf, checkEdgeJournal } from './edge-journal.js';
import type { CallerRequest, RequestKind, BrokenRule, EdgeJournal } from './edge-journal.js';
import { createEdgeWorkers } from './edge-workers.js';
import type { EdgeSabotage } from './edge-workers.js';
import { createWorld } from './world.js';
import type { Host } from './world.js';

/**
 * Options of a day. By default it has 12 requests and no sabotage, and the proxy is paused once with a probability of
 * 0.4.
 */
export type EdgeDayOptions = {
  /** Creates the relay under test; a test may pass one that is broken on purpose. */
  readonly createRelay: (deps: RelayDeps) => Relay;
  readonly requests?: number;
  /** Share of attempts that meet a faulty worker; 0.5 if not given. */
  readonly faultShare?: number;
  readonly sabotage?: EdgeSabotage;
  /** Whether the proxy process may be paused during the day. */
  readonly mayFreeze?: boolean;
};

/** Result of a day. A correct relay breaks no rule and leaves no request open and no worker slot reserved. */
export type EdgeDayResult = {
  readonly broken: readonly BrokenRule[];
  readonly journal: EdgeJournal;
  /** Requests that are still open at the relay after the end of the day. */
  readonly open: number;
  /** Worker slots that are still reserved. */
  readonly held: number;
};

const REQUEST_KINDS: readonly RequestKind[] = ['once', 'repeatable', 'stream', 'resumable'];
const DEADLINE_MS = 3_000;
const ARRIVAL_WINDOW_MS = 4_000;
const ATTEMPT_BUDGET = { ratio: 0.5, slack: 12, windowMs: 60_000 };
const SETTLE_MS = 9_000;

function routeOf(kind: RequestKind, attempts: number): RouteSettings {
  return {
    at: 0,
    host: 'a.example',
    prefix: `/${kind}/${attempts}/`,
    kind: kind === 'resumable' ? 'stream' : kind,
    resumable: kind === 'resumable',
    pinned: false,
    rank: REQUEST_KINDS.indexOf(kind),
    deadlineMs: DEADLINE_MS,
    aimMs: 2_000,
    pauseMs: null,
    attempts,
    shares: [{ model: 'm', share: 1 }],
    split: false,
    homes: [],
  };
}

function workerEntry(index: number): WorkerEntry {
  return {
    id: `w${index}`,
    model: 'm',
    address: `10.0.0.${index}:80`,
    zone: `z${index % 2}`,
    region: 'r',
    release: '',
    places: 4,
    leaving: false,
    remainingMs: null,
    coldMs: 0,
  };
}

/** Plays one day and checks its journal. */
export async function runEdgeDay(seed: number, options: EdgeDayOptions): Promise<EdgeDayResult> {
  const world = createWorld(seed);
  const rng = createRng(seed ^ 0x5eed);
  const proc = world.startProcess(world.host('edge', 'z1'));
  const clock = world.clockOf(proc);
  const journal: EdgeJournal = { asked: [], arrivals: [] };
  const connectionPool: ConnectionPool = createEdgeWorkers({
    world,
    proc,
    headerNames: DEFAULT_HEADER_NAMES,
    rng,
    journal,
    sabotage: options.sabotage ?? 'none',
    faultShare: options.faultShare ?? 0.5,
  });
  const routes: Record<string, RouteSettings> = {};
  for (const kind of REQUEST_KINDS)
    for (const attempts of [1, 2, 3]) routes[`${kind}${attempts}`] = routeOf(kind, attempts);
  const models = { m: { at: 0, probePath: '/h', maxConns: 100, coldS: 0, coldRateS: 0, engine: null } };
  const routeTable = createRouteTable({ number: 1, mappings: routes, models, limits: DEFAULT_LIMITS });
  const registry = createWorkerRegistry(
    { name: 'edge', zone: 'z1', region: 'r', openConnections: (address) => connectionPool.idle(address) },
    EDGE_TUNING,
  );
  registry.applyList([1, 2, 3, 4].map(workerEntry), 0);
  const relay = options.createRelay({
    headerNames: DEFAULT_HEADER_NAMES,
    tuning: EDGE_TUNING,
    registry,
    budget: createAttemptBudget(ATTEMPT_BUDGET),
    connectionPool,
    clock,
    rng,
    log: createQuietLog().component('edge'),
    routeTable: getRouteTable,
    isClosing: alwaysFalse,
    drainDeadlines: alwaysNull,
  });
  every(clock, 250, () => relay.tick());
  function getRouteTable(): RouteTable {
    return routeTable;
  }

  for (let i = 0; i < (options.requests ?? 12); i += 1) world.at(rng.next() * ARRIVAL_WINDOW_MS, sendRequest);
  const isFrozenOnce = rng.next() < 0.4 && options.mayFreeze !== false;
  const freezeAt = rng.next() * ARRIVAL_WINDOW_MS;
  if (isFrozenOnce) world.at(freezeAt, freeze);

  function freeze(): void {
    world.freeze(proc.host);
  }
  function sendRequest(): void {
    const request = drawRequest(journal.asked.length, rng.next);
    journal.asked.push(request);
    const caller = createCaller(request);
    if (rng.next() < 0.2) world.at(rng.next() * 1_500, disconnect);
    function arrive(): void {
      request.readAt = world.now();
      relay.handle(caller.request);
    }
    function disconnect(): void {
      if (request.end !== 'none') return;
      request.disconnectedAt = world.now();
      world.run(proc, caller.disconnect);
    }
    world.run(proc, arrive);
  }

  if (isFrozenOnce) {
    await world.advance(freezeAt + 200 + rng.next() * 4_000);
    await thaw(proc.host);
  }
  await world.advance(ARRIVAL_WINDOW_MS + SETTLE_MS);
  let held = 0;
  for (const row of registry.rows()) held += row.running;
  return { broken: checkEdgeJournal(journal, ATTEMPT_BUDGET), journal, open: relay.tally().open, held };
}

function alwaysFalse(): boolean {
  return false;
}
function alwaysNull(): null {
  return null;
}

/** Resumes a paused host: runs the parked callbacks one by one, each with its microtasks, as an event loop does. */
async function thaw(host: Host): Promise<void> {
  host.frozen = false;
  for (const callback of host.deferredCallbacks.splice(0)) {
    callback();
    await yieldToEventLoop();
  }
}

function drawRequest(index: number, next: () => number): CallerRequest {
  const kind = REQUEST_KINDS[Math.floor(next() * REQUEST_KINDS.length)] as RequestKind;
  return {
    id: `q${index}`,
    kind,
    readAt: 0,
    deadlineMs: Math.round(600 + next() * 2_400),
    attempts: 1 + Math.floor(next() * 3),
    events: 1 + Math.floor(next() * 6),
    disconnectedAt: null,
    status: 0,
    seal: null,
    body: '',
    end: 'none',
  };
}

type Caller = { readonly request: OpaqueRequest; readonly disconnect: () => void };

/** Creates a caller's connection. What the proxy writes to it is recorded in the caller's entry of the journal. */
function createCaller(request: CallerRequest): Caller {
  const disconnectListeners: (() => void)[] = [];
  const headers: Record<string, string> = {
    host: 'a.example',
    [DEFAULT_HEADER_NAMES.attemptId]: request.id,
    [DEFAULT_HEADER_NAMES.deadline]: String(request.deadlineMs),
    'content-length': String(requestBodyOf(request.id).length),
  };
  let isDisconnected = false;

  function get(name: string): string | null {
    return headers[name] ?? null;
  }
  function body(): ReturnType<OpaqueRequest['body']> {
    return Promise.resolve({ ok: true, value: Buffer.from(requestBodyOf(request.id)) });
  }
  function isGone(): boolean {
    return isDisconnected;
  }
  function onGone(callback: () => void): void {
    disconnectListeners.push(callback);
  }
  function head(status: number, raw: readonly string[]): void {
    if (isDisconnected || request.status !== 0) return;
    request.status = status;
    const index = raw.indexOf(DEFAULT_HEADER_NAMES.seal);
    request.seal = index < 0 ? null : (raw[index + 1] ?? null);
  }
  function write(data: Buffer): void {
    if (!isDisconnected && request.end === 'none') request.body += data.toString();
  }
  function end(): void {
    if (!isDisconnected && request.end === 'none') request.end = 'whole';
  }
  function abort(): void {
    if (!isDisconnected && request.end === 'none') request.end = 'cut';
  }
  function begun(): boolean {
    return request.status !== 0;
  }
  function disconnect(): void {
    isDisconnected = true;
    for (const callback of disconnectListeners) callback();
  }
  const opaqueRequest: OpaqueRequest = {
    method: 'POST',
    target: `/${request.kind}/${request.attempts}/x`,
    headers: Object.entries(headers).flat(),
    get,
    body,
    responseWriter: { head, write, end, abort, gone: isGone, begun, onCallerGone: onGone, tryHold: () => true },
  };
  return { request: opaqueRequest, disconnect };
}
