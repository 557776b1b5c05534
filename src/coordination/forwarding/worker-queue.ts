/**
 * Finds a worker for a request, or lets it wait in a bounded queue until one has room: the more urgent
 * first, each no longer than its route's share of time allows.
 */
import type { EdgeTuning } from '../../state/forwarding/edge-tuning.js';
import type { Standstill } from '../../state/forwarding/standstill.js';
import type {
  RegistryRow,
  Reservation,
  SelectionRequest,
  WorkerRegistry,
} from '../../state/discovery/worker-registry.js';
import type { Clock, Timer } from '../../transport/clock.js';
import { rankOf } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';

/** A worker with one of its places held. */
export type ReservedWorker = { readonly row: RegistryRow; readonly reservation: Reservation };

/** Reserves workers for requests. */
export interface WorkerQueue {
  /** A worker, or null when the wait was over, the queue full or the caller gone. */
  reserve(request: RelayedRequest): Promise<ReservedWorker | null>;
  /** True if no worker at all is in reach of this request, busy or not. */
  noneInReach(request: RelayedRequest): boolean;
  /** Looks again for everyone who waits. */
  wake(): void;
  waiting(): number;
}

/** The workers, and `selectionFor`, which says what a request needs. */
export type WorkerQueueDeps = {
  readonly registry: WorkerRegistry;
  readonly tuning: EdgeTuning;
  readonly clock: Clock;
  readonly standstill: Standstill;
  readonly selectionFor: (request: RelayedRequest) => SelectionRequest;
};

type Waiter = {
  readonly request: RelayedRequest;
  readonly resolve: (reserved: ReservedWorker | null) => void;
  timer: Timer;
};

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

  private trySelect(request: RelayedRequest): ReservedWorker | 'busy' | 'none' {
    const selection = this.deps.selectionFor(request);
    const found = this.deps.registry.selectWorker(selection);
    return found.tag === 'row'
      ? { row: found.row, reservation: this.deps.registry.reserve(found.row, selection) }
      : found.tag;
  }

  private selectNow(request: RelayedRequest): ReservedWorker | null {
    const first = this.waiters.length === 0 ? this.trySelect(request) : null;
    if (first !== null && typeof first === 'object') return first;
    if (first !== 'none' || request.avoid.size === 0) return null;
    request.avoid.clear();
    const second = this.trySelect(request);
    return typeof second === 'object' ? second : null;
  }

  private waitUntil(request: RelayedRequest, now: number): number {
    const targetMs = request.route.settings.aimMs ?? DEFAULT_AIM_MS;
    const untried = request.attempts === 0 && !request.answerBegun;
    const until = untried
      ? Math.max(request.cameAt + targetMs * this.deps.tuning.queueTimeFraction, now)
      : now + REPEAT_WAIT_MS;
    return Math.min(request.deadlineAt - BEFORE_DEADLINE_MS, until);
  }

  reserve(request: RelayedRequest): Promise<ReservedWorker | null> {
    const reserved = this.selectNow(request);
    if (reserved || this.waiters.length >= this.deps.tuning.maxQueueLength) return Promise.resolve(reserved);

    const start = (resolve: (reserved: ReservedWorker | null) => void): void => {
      this.enqueue(request, resolve);
    };
    return new Promise(start);
  }

  private enqueue(request: RelayedRequest, resolve: (reserved: ReservedWorker | null) => void): void {
    const finish = (reserved: ReservedWorker | null): void => {
      waiter.timer.cancel();
      const i = this.waiters.indexOf(waiter);
      if (i >= 0) this.waiters.splice(i, 1);
      resolve(reserved);
    };
    const now = this.deps.clock.mono();
    const waiter: Waiter = {
      request,
      resolve: finish,
      timer: this.deps.clock.timer(Math.max(0, this.waitUntil(request, now) - now), abandon),
    };
    function abandon(): void {
      finish(null);
    }
    this.waiters.splice(this.positionOf(request), 0, waiter);
    this.lookLater();
    request.incoming.answerer.onGone(abandon);
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
      const reserved = this.trySelect(waiter.request);
      if (typeof reserved === 'object') waiter.resolve(reserved);
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
    return this.deps.registry.selectWorker(this.deps.selectionFor(request)).tag === 'none';
  }

  waiting(): number {
    return this.waiters.length;
  }
}

/** An empty queue. */
export function createWorkerQueue(deps: WorkerQueueDeps): WorkerQueue {
  return new RankedWorkerQueue(deps);
}
