/**
 * Finds a worker for a request, or lets it wait in a bounded queue until one has room: the more urgent
 * first, each no longer than its route's share of time allows.
 */
import type { EdgeTuning } from '../../state/edge-tuning.js';
import type { Standstill } from '../../state/standstill.js';
import type { BookRow, Hold, PlaceAsk, WorkerRegistry } from '../../state/worker-registry.js';
import type { Clock, Timer } from '../../transport/clock.js';
import { rankOf } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';

/** A worker with one of its places held. */
export type HeldWorker = { readonly row: BookRow; readonly hold: Hold };

export type WorkerQueue = {
  /** A worker, or null when the wait was over, the queue full or the caller gone. */
  readonly place: (request: RelayedRequest) => Promise<HeldWorker | null>;
  /** True if no worker at all is in reach of this request, busy or not. */
  readonly noneInReach: (request: RelayedRequest) => boolean;
  /** Looks again for everyone who waits. */
  readonly wake: () => void;
  readonly waiting: () => number;
};

export type WorkerQueueDeps = {
  readonly registry: WorkerRegistry;
  readonly tuning: EdgeTuning;
  readonly clock: Clock;
  readonly standstill: Standstill;
  readonly askOf: (request: RelayedRequest) => PlaceAsk;
};

type Waiter = { readonly request: RelayedRequest; readonly go: (held: HeldWorker | null) => void; timer: Timer };

/** Time passes for cold workers and full ones without any event, so whoever waits looks so often. */
const LOOK_MS = 25;
/** Before the deadline, so that the caller still hears the refusal. */
const BEFORE_DEADLINE_MS = 20;
/** A request that was tried already waits no longer for its next attempt. */
const REPEAT_WAIT_MS = 400;
const DEFAULT_AIM_MS = 2_000;

export function createWorkerQueue(deps: WorkerQueueDeps): WorkerQueue {
  const { registry, tuning, clock, standstill, askOf } = deps;
  const waiters: Waiter[] = [];
  let waking = false;
  let looking = false;

  function take(request: RelayedRequest): HeldWorker | 'busy' | 'none' {
    const ask = askOf(request);
    const found = registry.place(ask);
    return found.tag === 'row' ? { row: found.row, hold: registry.begin(found.row, ask) } : found.tag;
  }

  function takeAtOnce(request: RelayedRequest): HeldWorker | null {
    const first = waiters.length === 0 ? take(request) : null;
    if (first !== null && typeof first === 'object') return first;
    if (first !== 'none' || request.avoid.size === 0) return null;
    request.avoid.clear();
    const second = take(request);
    return typeof second === 'object' ? second : null;
  }

  function waitUntil(request: RelayedRequest, now: number): number {
    const aimMs = request.route.mapping.aimMs ?? DEFAULT_AIM_MS;
    const untried = request.attempts === 0 && !request.answerBegun;
    const until = untried ? Math.max(request.cameAt + aimMs * tuning.lineShare, now) : now + REPEAT_WAIT_MS;
    return Math.min(request.deadlineAt - BEFORE_DEADLINE_MS, until);
  }

  function place(request: RelayedRequest): Promise<HeldWorker | null> {
    const held = takeAtOnce(request);
    if (held || waiters.length >= tuning.lineMost) return Promise.resolve(held);
    function start(resolve: (held: HeldWorker | null) => void): void {
      enqueue(request, resolve);
    }
    return new Promise(start);
  }

  function enqueue(request: RelayedRequest, resolve: (held: HeldWorker | null) => void): void {
    const now = clock.mono();
    const waiter: Waiter = { request, go, timer: clock.timer(Math.max(0, waitUntil(request, now) - now), giveUp) };
    function go(held: HeldWorker | null): void {
      waiter.timer.cancel();
      const i = waiters.indexOf(waiter);
      if (i >= 0) waiters.splice(i, 1);
      resolve(held);
    }
    function giveUp(): void {
      go(null);
    }
    waiters.splice(positionOf(request), 0, waiter);
    lookLater();
    request.incoming.answerer.onGone(giveUp);
    wake();
  }

  function positionOf(request: RelayedRequest): number {
    const rank = rankOf(request);
    let at = waiters.length;
    while (at > 0 && rankOf((waiters[at - 1] as Waiter).request) > rank) at -= 1;
    return at;
  }

  function wake(): void {
    if (waking || standstill.observe(clock.mono()) !== null) return;
    waking = true;
    for (const waiter of [...waiters]) {
      const held = take(waiter.request);
      if (typeof held === 'object') waiter.go(held);
    }
    waking = false;
  }

  function look(): void {
    looking = false;
    if (waiters.length === 0) return;
    wake();
    lookLater();
  }
  function lookLater(): void {
    if (looking) return;
    looking = true;
    clock.timer(LOOK_MS, look);
  }

  function noneInReach(request: RelayedRequest): boolean {
    return registry.place(askOf(request)).tag === 'none';
  }
  function waiting(): number {
    return waiters.length;
  }
  return { place, noneInReach, wake, waiting };
}
