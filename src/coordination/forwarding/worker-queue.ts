/**
 * Reserves a worker for a request, or queues the request until a worker has a free slot. The queue is bounded and
 * ordered by urgency. A request that was not sent yet waits for at most a fraction of its route's latency target.
 */
import type { EdgeTuning } from '../../state/forwarding/edge-tuning.js';
import type { ResumeDelay } from '../../state/forwarding/resume-delay.js';
import type {
  RegistryRow,
  Reservation,
  SelectionRequest,
  WorkerRegistry,
} from '../../state/discovery/worker-registry.js';
import type { Clock, Timer } from '../../transport/clock.js';
import { rankOf } from './relayed-request.js';
import type { RelayedRequest } from './relayed-request.js';

/** A worker with one of its slots reserved. */
export type ReservedWorker = { readonly row: RegistryRow; readonly reservation: Reservation };

/** Reserves workers for requests. */
export interface WorkerQueue {
  /** Resolves with a worker, or with null if the wait timed out, the queue is full or the caller disconnected. */
  reserve(request: RelayedRequest): Promise<ReservedWorker | null>;
  /** Returns true if no worker, busy or idle, is available to this request. */
  noneInReach(request: RelayedRequest): boolean;
  /** Retries the reservation of each queued request. */
  wake(): void;
  waiting(): number;
}

/** Dependencies of the queue; `selectionFor` returns what a request needs of a worker. */
export type WorkerQueueDeps = {
  readonly registry: WorkerRegistry;
  readonly tuning: EdgeTuning;
  readonly clock: Clock;
  readonly resumeDelay: ResumeDelay;
  readonly selectionFor: (request: RelayedRequest) => SelectionRequest;
};

type Waiter = {
  readonly request: RelayedRequest;
  readonly resolve: (reserved: ReservedWorker | null) => void;
  timer: Timer;
};

/**
 * Interval at which queued requests are retried. A cold or full worker becomes available again as time passes, without
 * any event that would wake the queue.
 */
const RECHECK_INTERVAL_MS = 25;
/** A queued request is rejected this long before its deadline, so that the rejection still reaches the caller. */
const REJECT_BEFORE_DEADLINE_MS = 20;
/** Maximum wait for a further attempt of a request that was sent before. */
const MAX_RETRY_WAIT_MS = 400;
const DEFAULT_LATENCY_TARGET_MS = 2_000;

class PriorityWorkerQueue implements WorkerQueue {
  private readonly waiters: Waiter[] = [];
  private isWaking = false;
  private isRecheckScheduled = false;

  constructor(private readonly deps: WorkerQueueDeps) {}

  private tryReserve(request: RelayedRequest): ReservedWorker | 'busy' | 'none' {
    const selection = this.deps.selectionFor(request);
    const selected = this.deps.registry.selectWorker(selection);
    return selected.tag === 'row'
      ? { row: selected.row, reservation: this.deps.registry.reserve(selected.row, selection) }
      : selected.tag;
  }

  private reserveNow(request: RelayedRequest): ReservedWorker | null {
    const first = this.waiters.length === 0 ? this.tryReserve(request) : null;
    if (first !== null && typeof first === 'object') return first;
    if (first !== 'none' || request.avoid.size === 0) return null;
    request.avoid.clear();
    const second = this.tryReserve(request);
    return typeof second === 'object' ? second : null;
  }

  private waitDeadlineOf(request: RelayedRequest, now: number): number {
    const latencyTargetMs = request.route.settings.aimMs ?? DEFAULT_LATENCY_TARGET_MS;
    const isFirstAttempt = request.attempts === 0 && !request.isResponseStarted;
    const waitUntil = isFirstAttempt
      ? Math.max(request.arrivedAt + latencyTargetMs * this.deps.tuning.queueTimeFraction, now)
      : now + MAX_RETRY_WAIT_MS;
    return Math.min(request.deadlineAt - REJECT_BEFORE_DEADLINE_MS, waitUntil);
  }

  reserve(request: RelayedRequest): Promise<ReservedWorker | null> {
    const reserved = this.reserveNow(request);
    if (reserved || this.waiters.length >= this.deps.tuning.maxQueueLength) return Promise.resolve(reserved);

    const start = (resolve: (reserved: ReservedWorker | null) => void): void => {
      this.enqueue(request, resolve);
    };
    return new Promise(start);
  }

  private enqueue(request: RelayedRequest, resolve: (reserved: ReservedWorker | null) => void): void {
    const finish = (reserved: ReservedWorker | null): void => {
      waiter.timer.cancel();
      const index = this.waiters.indexOf(waiter);
      if (index >= 0) this.waiters.splice(index, 1);
      resolve(reserved);
    };
    const now = this.deps.clock.mono();
    const waiter: Waiter = {
      request,
      resolve: finish,
      timer: this.deps.clock.timer(Math.max(0, this.waitDeadlineOf(request, now) - now), abandon),
    };
    function abandon(): void {
      finish(null);
    }
    this.waiters.splice(this.positionOf(request), 0, waiter);
    this.scheduleRecheck();
    request.incoming.responseWriter.onCallerGone(abandon);
    this.wake();
  }

  private positionOf(request: RelayedRequest): number {
    const rank = rankOf(request);
    let position = this.waiters.length;
    while (position > 0 && rankOf((this.waiters[position - 1] as Waiter).request) > rank) position -= 1;
    return position;
  }

  wake(): void {
    if (this.isWaking || this.deps.resumeDelay.observe(this.deps.clock.mono()) !== null) return;
    this.isWaking = true;
    for (const waiter of [...this.waiters]) {
      const reserved = this.tryReserve(waiter.request);
      if (typeof reserved === 'object') waiter.resolve(reserved);
    }
    this.isWaking = false;
  }

  private recheck(): void {
    this.isRecheckScheduled = false;
    if (this.waiters.length === 0) return;
    this.wake();
    this.scheduleRecheck();
  }

  private scheduleRecheck(): void {
    if (this.isRecheckScheduled) return;
    this.isRecheckScheduled = true;
    this.deps.clock.timer(RECHECK_INTERVAL_MS, () => this.recheck());
  }

  noneInReach(request: RelayedRequest): boolean {
    return this.deps.registry.selectWorker(this.deps.selectionFor(request)).tag === 'none';
  }

  waiting(): number {
    return this.waiters.length;
  }
}

/** Creates an empty queue. */
export function createWorkerQueue(deps: WorkerQueueDeps): WorkerQueue {
  return new PriorityWorkerQueue(deps);
}
