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

export interface WorkerQueue {
  /** A worker, or null when the wait was over, the queue full or the caller gone. */
  place(request: RelayedRequest): Promise<HeldWorker | null>;
  /** True if no worker at all is in reach of this request, busy or not. */
  noneInReach(request: RelayedRequest): boolean;
  /** Looks again for everyone who waits. */
  wake(): void;
  waiting(): number;
}

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

class RankedWorkerQueue implements WorkerQueue {
  private readonly waiters: Waiter[] = [];
  private waking = false;
  private looking = false;

  constructor(private readonly deps: WorkerQueueDeps) {}

  private take(request: RelayedRequest): HeldWorker | 'busy' | 'none' {
    const ask = this.deps.askOf(request);
    const found = this.deps.registry.place(ask);
    return found.tag === 'row' ? { row: found.row, hold: this.deps.registry.begin(found.row, ask) } : found.tag;
  }

  private takeAtOnce(request: RelayedRequest): HeldWorker | null {
    const first = this.waiters.length === 0 ? this.take(request) : null;
    if (first !== null && typeof first === 'object') return first;
    if (first !== 'none' || request.avoid.size === 0) return null;
    request.avoid.clear();
    const second = this.take(request);
    return typeof second === 'object' ? second : null;
  }

  private waitUntil(request: RelayedRequest, now: number): number {
    const aimMs = request.route.mapping.aimMs ?? DEFAULT_AIM_MS;
    const untried = request.attempts === 0 && !request.answerBegun;
    const until = untried ? Math.max(request.cameAt + aimMs * this.deps.tuning.lineShare, now) : now + REPEAT_WAIT_MS;
    return Math.min(request.deadlineAt - BEFORE_DEADLINE_MS, until);
  }

  place(request: RelayedRequest): Promise<HeldWorker | null> {
    const held = this.takeAtOnce(request);
    if (held || this.waiters.length >= this.deps.tuning.lineMost) return Promise.resolve(held);

    const start = (resolve: (held: HeldWorker | null) => void): void => {
      this.enqueue(request, resolve);
    };
    return new Promise(start);
  }

  private enqueue(request: RelayedRequest, resolve: (held: HeldWorker | null) => void): void {
    const go = (held: HeldWorker | null): void => {
      waiter.timer.cancel();
      const i = this.waiters.indexOf(waiter);
      if (i >= 0) this.waiters.splice(i, 1);
      resolve(held);
    };
    const now = this.deps.clock.mono();
    const waiter: Waiter = {
      request,
      go,
      timer: this.deps.clock.timer(Math.max(0, this.waitUntil(request, now) - now), giveUp),
    };
    function giveUp(): void {
      go(null);
    }
    this.waiters.splice(this.positionOf(request), 0, waiter);
    this.lookLater();
    request.incoming.answerer.onGone(giveUp);
    this.wake();
  }

  private positionOf(request: RelayedRequest): number {
    const rank = rankOf(request);
    let at = this.waiters.length;
    while (at > 0 && rankOf((this.waiters[at - 1] as Waiter).request) > rank) at -= 1;
    return at;
  }

  wake(): void {
    if (this.waking || this.deps.standstill.observe(this.deps.clock.mono()) !== null) return;
    this.waking = true;
    for (const waiter of [...this.waiters]) {
      const held = this.take(waiter.request);
      if (typeof held === 'object') waiter.go(held);
    }
    this.waking = false;
  }

  private look(): void {
    this.looking = false;
    if (this.waiters.length === 0) return;
    this.wake();
    this.lookLater();
  }

  private lookLater(): void {
    if (this.looking) return;
    this.looking = true;
    this.deps.clock.timer(LOOK_MS, () => this.look());
  }

  noneInReach(request: RelayedRequest): boolean {
    return this.deps.registry.place(this.deps.askOf(request)).tag === 'none';
  }

  waiting(): number {
    return this.waiters.length;
  }
}

export function createWorkerQueue(deps: WorkerQueueDeps): WorkerQueue {
  return new RankedWorkerQueue(deps);
}
