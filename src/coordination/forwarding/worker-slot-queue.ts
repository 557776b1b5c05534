/**
 * Acquires a worker slot for a request with an admission token, or queues the request in the bounded queue of its model
 * until a worker has a free slot. A request that would not get a slot in time, by the rate at which the queue has
 * lately been served, is rejected at once.
 */
import type { RejectReason } from '../../protocol/caller-wire.js';
import type { Candidate } from '../../state/forwarding/candidate.js';
import { createQueueWaitEstimator } from '../../state/forwarding/queue-wait-estimator.js';
import type { QueueWaitEstimator } from '../../state/forwarding/queue-wait-estimator.js';
import type { ResolvedSettings } from '../../state/configuration/settings-tree.js';
import type { AdmissionToken } from '../../state/forwarding/admission-token.js';
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { PlacementService } from './placement-service.js';

/** A worker with one of its slots taken, or why there is none and when to retry. */
export type WorkerSlot =
  | { readonly tag: 'acquired'; readonly candidate: Candidate; readonly row: WorkerRow }
  | { readonly tag: 'none'; readonly reason: RejectReason; readonly retryAfterMs: number };

/** A request for a slot. `waitUntil` is in milliseconds of the monotonic clock. */
export type SlotRequest = {
  readonly token: AdmissionToken;
  readonly parts: readonly string[];
  readonly values: ResolvedSettings;
  /** Workers that were tried before. */
  readonly avoid: ReadonlySet<number>;
  readonly waitUntil: number;
  readonly isCallerGone: () => boolean;
};

/** Acquires and releases worker slots. */
export interface WorkerSlotQueue {
  acquire(request: SlotRequest): Promise<WorkerSlot>;
  /** Releases a slot and wakes the queued requests. */
  release(row: WorkerRow): void;
  wake(): void;
  waiting(): number;
  /** Rejects all queued requests and all later ones. */
  close(): void;
}

/** Dependencies of the queue; while `ready` returns false each request is rejected. */
export type WorkerSlotQueueDeps = {
  readonly ready: () => boolean;
  readonly placement: PlacementService;
  readonly table: WorkerTable;
  readonly clock: Clock;
};

type Waiter = { readonly wake: () => void };

const DEFAULT_RETRY_AFTER_MS = 1_000;

class ModelSlotQueue implements WorkerSlotQueue {
  private readonly waiters = new Set<Waiter>();
  private readonly queueLengths = new Map<string, number>();
  private readonly waitEstimators = new Map<string, QueueWaitEstimator>();
  private isOpen = true;

  constructor(private readonly deps: WorkerSlotQueueDeps) {}

  private noSlot(reason: RejectReason, retryAfterMs = DEFAULT_RETRY_AFTER_MS): WorkerSlot {
    return { tag: 'none', reason, retryAfterMs };
  }

  private queueLengthOf(model: string): number {
    return this.queueLengths.get(model) ?? 0;
  }

  private waitEstimatorOf(model: string): QueueWaitEstimator {
    const pacer = this.waitEstimators.get(model) ?? createQueueWaitEstimator();
    this.waitEstimators.set(model, pacer);
    return pacer;
  }

  /** Returns a slot or a rejection, or null if the only obstacle is that all suitable workers are full. */
  private tryAcquire(request: SlotRequest): WorkerSlot | null {
    const { token, parts, avoid } = request;
    const choice = this.deps.placement.choose({
      model: token.model,
      parts,
      homes: this.deps.placement.homesOf(token.model, token.bound),
      avoid,
    });
    if (choice.tag !== 'chosen')
      return choice.stoppedBy === 'room' ? null : this.noSlot(avoid.size > 0 ? 'workersShed' : 'noWorker');
    const row = this.deps.table.begin(choice.candidate.index);
    if (!row) return this.noSlot('noWorker');
    this.waitEstimatorOf(token.model).record(this.deps.clock.mono());
    return { tag: 'acquired', candidate: choice.candidate, row };
  }

  private rejectionFor(request: SlotRequest): WorkerSlot | null {
    if (!this.isOpen) return this.noSlot('stopping');
    if (!this.deps.ready()) return this.noSlot('notReady');
    return request.isCallerGone() ? this.noSlot('lineWaitOver') : null;
  }

  async acquire(request: SlotRequest): Promise<WorkerSlot> {
    const { model } = request.token;
    const immediate = this.rejectionFor(request) ?? (this.queueLengthOf(model) === 0 ? this.tryAcquire(request) : null);
    if (immediate) return immediate;
    const now = this.deps.clock.mono();
    const ahead = this.queueLengthOf(model);
    const expectedWaitMs = this.waitEstimatorOf(model).expectedWaitMs(ahead, now);
    if (ahead >= request.values.lineLimit || (expectedWaitMs !== null && now + expectedWaitMs > request.waitUntil))
      return this.noSlot('lineFull', expectedWaitMs ?? request.values.lineWaitMs);
    this.queueLengths.set(model, ahead + 1);
    const result = await this.wait(request);
    this.queueLengths.set(model, this.queueLengthOf(model) - 1);
    return result;
  }

  private async wait(request: SlotRequest): Promise<WorkerSlot> {
    const { model } = request.token;
    for (;;) {
      const now = this.deps.clock.mono();
      if (now >= request.waitUntil)
        return this.noSlot(
          'lineWaitOver',
          this.waitEstimatorOf(model).expectedWaitMs(this.queueLengthOf(model), now) ?? DEFAULT_RETRY_AFTER_MS,
        );
      await this.waitForWake(request.waitUntil - now);
      const result = this.rejectionFor(request) ?? this.tryAcquire(request);
      if (result) return result;
    }
  }

  private waitForWake(timeoutMs: number): Promise<void> {
    const start = (resolve: () => void): void => {
      const wake = (): void => {
        timer.cancel();
        this.waiters.delete(waiter);
        resolve();
      };
      const waiter: Waiter = { wake };
      const timer: Timer = this.deps.clock.timer(timeoutMs, wake);
      this.waiters.add(waiter);
    };
    return new Promise(start);
  }

  wake(): void {
    for (const waiter of [...this.waiters]) waiter.wake();
  }

  release(row: WorkerRow): void {
    this.deps.table.end(row);
    this.wake();
  }

  waiting(): number {
    let total = 0;
    for (const length of this.queueLengths.values()) total += length;
    return total;
  }

  close(): void {
    this.isOpen = false;
    this.wake();
  }
}

/** Creates empty queues, one for each model. */
export function createWorkerSlotQueue(deps: WorkerSlotQueueDeps): WorkerSlotQueue {
  return new ModelSlotQueue(deps);
}
