/**
 * A day of one proxy's opaque server: callers of all kinds, workers in all kinds of trouble, and a proxy
 * that is frozen now and then. By seed, without sockets; judged from what callers and workers noted.
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
import { bodyOf, checkEdgeJournal } from './edge-journal.js';
import type { Asked, AskedKind, BrokenRule, EdgeJournal } from './edge-journal.js';
import { createEdgeWorkers } from './edge-workers.js';
import type { EdgeSabotage } from './edge-workers.js';
import { createWorld } from './world.js';
import type { Host } from './world.js';

export type EdgeDayOptions = {
  /** The relay under trial; a test may hand in one that was broken on purpose. */
  readonly createRelay: (deps: RelayDeps) => Relay;
  readonly requests?: number;
  readonly trouble?: number;
  readonly sabotage?: EdgeSabotage;
  /** Whether the proxy may be frozen on the way. */
  readonly freezes?: boolean;
};

export type EdgeDayEnd = {
  readonly broken: readonly BrokenRule[];
  readonly journal: EdgeJournal;
  /** Requests that the relay still holds after all should be over. */
  readonly open: number;
  /** Places at workers that are still held. */
  readonly held: number;
};

const KINDS: readonly AskedKind[] = ['once', 'repeatable', 'stream', 'resumable'];
const DEADLINE_MS = 3_000;
const ASK_WITHIN_MS = 4_000;
const BOUNDS = { ratio: 0.5, slack: 12, windowMs: 60_000 };
const READ_TIMEOUT_MS = 9_000;

function routeOf(kind: AskedKind, attempts: number): RouteSettings {
  return {
    at: 0,
    host: 'a.example',
    prefix: `/${kind}/${attempts}/`,
    kind: kind === 'resumable' ? 'stream' : kind,
    resumable: kind === 'resumable',
    pinned: false,
    rank: KINDS.indexOf(kind),
    deadlineMs: DEADLINE_MS,
    aimMs: 2_000,
    pauseMs: null,
    attempts,
    shares: [{ model: 'm', share: 1 }],
    split: false,
    homes: [],
  };
}

function workerEntry(count: number): WorkerEntry {
  return {
    id: `w${count}`,
    model: 'm',
    address: `10.0.0.${count}:80`,
    zone: `z${count % 2}`,
    region: 'r',
    release: '',
    places: 4,
    leaving: false,
    remainingMs: null,
    coldMs: 0,
  };
}

/** Plays one day and judges it. */
export async function runEdgeDay(seed: number, options: EdgeDayOptions): Promise<EdgeDayEnd> {
  const world = createWorld(seed);
  const rng = createRng(seed ^ 0x5eed);
  const proc = world.begin(world.host('edge', 'z1'));
  const clock = world.clockOf(proc);
  const journal: EdgeJournal = { asked: [], arrivals: [] };
  const connectionPool: ConnectionPool = createEdgeWorkers({
    world,
    proc,
    headerNames: DEFAULT_HEADER_NAMES,
    rng,
    journal,
    sabotage: options.sabotage ?? 'none',
    trouble: options.trouble ?? 0.5,
  });
  const mappings: Record<string, RouteSettings> = {};
  for (const kind of KINDS) for (const attempts of [1, 2, 3]) mappings[`${kind}${attempts}`] = routeOf(kind, attempts);
  const models = { m: { at: 0, probePath: '/h', maxConns: 100, coldS: 0, coldRateS: 0, engine: null } };
  const table = createRouteTable({ number: 1, mappings, models, limits: DEFAULT_LIMITS });
  const book = createWorkerRegistry(
    { name: 'edge', zone: 'z1', region: 'r', openConnections: (address) => connectionPool.idle(address) },
    EDGE_TUNING,
  );
  book.applyList([1, 2, 3, 4].map(workerEntry), 0);
  const relay = options.createRelay({
    headerNames: DEFAULT_HEADER_NAMES,
    tuning: EDGE_TUNING,
    registry: book,
    budget: createAttemptBudget(BOUNDS),
    connectionPool,
    clock,
    rng,
    log: createQuietLog().component('edge'),
    routeTable: theTable,
    isClosing: never,
    drainDeadlines: nothing,
  });
  every(clock, 250, () => relay.tick());
  function theTable(): RouteTable {
    return table;
  }

  for (let i = 0; i < (options.requests ?? 12); i += 1) world.at(rng.next() * ASK_WITHIN_MS, ask);
  const freezes = rng.next() < 0.4 && options.freezes !== false;
  const freezeAt = rng.next() * ASK_WITHIN_MS;
  if (freezes) world.at(freezeAt, freeze);

  function freeze(): void {
    world.freeze(proc.host);
  }
  function ask(): void {
    const asked = newAsked(journal.asked.length, rng.next);
    journal.asked.push(asked);
    const caller = createCaller(asked);
    if (rng.next() < 0.2) world.at(rng.next() * 1_500, leave);
    function arrives(): void {
      asked.readAt = world.now();
      relay.handle(caller.incoming);
    }
    function leave(): void {
      if (asked.end !== 'none') return;
      asked.leftAt = world.now();
      world.run(proc, caller.left);
    }
    world.run(proc, arrives);
  }

  if (freezes) {
    await world.advance(freezeAt + 200 + rng.next() * 4_000);
    await thaw(proc.host);
  }
  await world.advance(ASK_WITHIN_MS + READ_TIMEOUT_MS);
  let held = 0;
  for (const row of book.rows()) held += row.running;
  return { broken: checkEdgeJournal(journal, BOUNDS), journal, open: relay.tally().open, held };
}

function never(): boolean {
  return false;
}
function nothing(): null {
  return null;
}

/** Runs what came while a host was frozen one by one, each with its microtasks, as an event loop does. */
async function thaw(host: Host): Promise<void> {
  host.frozen = false;
  for (const callback of host.parked.splice(0)) {
    callback();
    await yieldToEventLoop();
  }
}

function newAsked(count: number, next: () => number): Asked {
  const kind = KINDS[Math.floor(next() * KINDS.length)] as AskedKind;
  return {
    id: `q${count}`,
    kind,
    readAt: 0,
    deadlineMs: Math.round(600 + next() * 2_400),
    attempts: 1 + Math.floor(next() * 3),
    events: 1 + Math.floor(next() * 6),
    leftAt: null,
    status: 0,
    seal: null,
    body: '',
    end: 'none',
  };
}

type Caller = { readonly incoming: OpaqueRequest; readonly left: () => void };

/** A caller's connection: what the proxy writes into it becomes the caller's part of the journal. */
function createCaller(asked: Asked): Caller {
  const watchers: (() => void)[] = [];
  const headers: Record<string, string> = {
    host: 'a.example',
    [DEFAULT_HEADER_NAMES.attemptId]: asked.id,
    [DEFAULT_HEADER_NAMES.deadline]: String(asked.deadlineMs),
    'content-length': String(bodyOf(asked.id).length),
  };
  let gone = false;

  function get(name: string): string | null {
    return headers[name] ?? null;
  }
  function body(): ReturnType<OpaqueRequest['body']> {
    return Promise.resolve({ ok: true, value: Buffer.from(bodyOf(asked.id)) });
  }
  function isGone(): boolean {
    return gone;
  }
  function onGone(callback: () => void): void {
    watchers.push(callback);
  }
  function head(status: number, raw: readonly string[]): void {
    if (gone || asked.status !== 0) return;
    asked.status = status;
    const at = raw.indexOf(DEFAULT_HEADER_NAMES.seal);
    asked.seal = at < 0 ? null : (raw[at + 1] ?? null);
  }
  function write(data: Buffer): void {
    if (!gone && asked.end === 'none') asked.body += data.toString();
  }
  function end(): void {
    if (!gone && asked.end === 'none') asked.end = 'whole';
  }
  function cut(): void {
    if (!gone && asked.end === 'none') asked.end = 'cut';
  }
  function begun(): boolean {
    return asked.status !== 0;
  }
  function left(): void {
    gone = true;
    for (const callback of watchers) callback();
  }
  const incoming: OpaqueRequest = {
    method: 'POST',
    target: `/${asked.kind}/${asked.attempts}/x`,
    headers: Object.entries(headers).flat(),
    get,
    body,
    responseWriter: { head, write, end, abort: cut, gone: isGone, begun, onCallerGone: onGone },
  };
  return { incoming, left };
}
