/**
 * Finds a worker for a request with a ticket, or lets it wait in its model's bounded queue until one has
 * room. Refuses at once whoever would not get a worker in time at the pace of the queue.
 */
import type { RejectReason } from '../../protocol/caller-wire.js';
import type { Candidate } from '../../state/forwarding/candidate.js';
import { createQueuePacer } from '../../state/forwarding/queue-pacer.js';
import type { QueuePacer } from '../../state/forwarding/queue-pacer.js';
import type { Resolved } from '../../state/configuration/settings-tree.js';
import type { AdmissionToken } from '../../state/forwarding/admission-token.js';
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { PlacementService } from './placement-service.js';

/** A worker with one of its places taken, or why there is none and when to come back. */
export type WorkerSlot =
  | { readonly tag: 'seat'; readonly candidate: Candidate; readonly row: WorkerRow }
  | { readonly tag: 'none'; readonly reason: RejectReason; readonly comeBackMs: number };

/** What a request asks of the queue. */
export type SlotRequest = {
  readonly token: AdmissionToken;
  readonly parts: readonly string[];
  readonly values: Resolved;
  /** Workers that were tried. */
  readonly avoid: ReadonlySet<number>;
  readonly waitUntil: number;
  readonly gone: () => boolean;
};

/** Acquires slots of workers. */
export interface WorkerSlotQueue {
  acquire(request: SlotRequest): Promise<WorkerSlot>;
  /** Gives a place back. */
  release(row: WorkerRow): void;
  wake(): void;
  waiting(): number;
  /** From now on everyone is refused. */
  close(): void;
}

/** Placement and the workers; while `ready` is false everyone is rejected. */
export type WorkerSlotQueueDeps = {
  readonly ready: () => boolean;
  readonly placement: PlacementService;
  readonly table: WorkerTable;
  readonly clock: Clock;
};

type Waiter = { readonly poke: () => void };

const COME_BACK_MS = 1_000;

class ModelSlotQueue implements WorkerSlotQueue {
  private readonly waiters = new Set<Waiter>();
  private readonly lengths = new Map<string, number>();
  private readonly paces = new Map<string, QueuePacer>();
  private open = true;

  constructor(private readonly deps: WorkerSlotQueueDeps) {}

  private none(reason: RejectReason, comeBackMs = COME_BACK_MS): WorkerSlot {
    return { tag: 'none', reason, comeBackMs };
  }

  private lengthOf(model: string): number {
    return this.lengths.get(model) ?? 0;
  }

  private paceOf(model: string): QueuePacer {
    const pace = this.paces.get(model) ?? createQueuePacer();
    this.paces.set(model, pace);
    return pace;
  }

  /** A seat, a refusal, or null where only room is lacking. */
  private tryAcquire(request: SlotRequest): WorkerSlot | null {
    const { token, parts, avoid } = request;
    const choice = this.deps.placement.choose({
      model: token.model,
      parts,
      homes: this.deps.placement.homesOf(token.model, token.bound),
      avoid,
    });
    if (choice.tag !== 'chosen')
      return choice.stoppedBy === 'room' ? null : this.none(avoid.size > 0 ? 'workersShed' : 'noWorker');
    const row = this.deps.table.begin(choice.candidate.index);
    if (!row) return this.none('noWorker');
    this.paceOf(token.model).record(this.deps.clock.mono());
    return { tag: 'seat', candidate: choice.candidate, row };
  }

  private whyNot(request: SlotRequest): WorkerSlot | null {
    if (!this.open) return this.none('stopping');
    if (!this.deps.ready()) return this.none('notReady');
    return request.gone() ? this.none('lineWaitOver') : null;
  }

  async acquire(request: SlotRequest): Promise<WorkerSlot> {
    const { model } = request.token;
    const atOnce = this.whyNot(request) ?? (this.lengthOf(model) === 0 ? this.tryAcquire(request) : null);
    if (atOnce) return atOnce;
    const now = this.deps.clock.mono();
    const ahead = this.lengthOf(model);
    const expected = this.paceOf(model).expectedWaitMs(ahead, now);
    if (ahead >= request.values.lineLimit || (expected !== null && now + expected > request.waitUntil))
      return this.none('lineFull', expected ?? request.values.lineWaitMs);
    this.lengths.set(model, ahead + 1);
    const end = await this.wait(request);
    this.lengths.set(model, this.lengthOf(model) - 1);
    return end;
  }

  private async wait(request: SlotRequest): Promise<WorkerSlot> {
    const { model } = request.token;
    for (;;) {
      const now = this.deps.clock.mono();
      if (now >= request.waitUntil)
        return this.none('lineWaitOver', this.paceOf(model).expectedWaitMs(this.lengthOf(model), now) ?? COME_BACK_MS);
      await this.nextPoke(request.waitUntil - now);
      const end = this.whyNot(request) ?? this.tryAcquire(request);
      if (end) return end;
    }
  }

  private nextPoke(ms: number): Promise<void> {
    const start = (resolve: () => void): void => {
      const poke = (): void => {
        timer.cancel();
        this.waiters.delete(waiter);
        resolve();
      };
      const waiter: Waiter = { poke };
      const timer: Timer = this.deps.clock.timer(ms, poke);
      this.waiters.add(waiter);
    };
    return new Promise(start);
  }

  wake(): void {
    for (const waiter of [...this.waiters]) waiter.poke();
  }

  release(row: WorkerRow): void {
    this.deps.table.end(row);
    this.wake();
  }

  waiting(): number {
    let sum = 0;
    for (const length of this.lengths.values()) sum += length;
    return sum;
  }

  close(): void {
    this.open = false;
    this.wake();
  }
}

/** Empty queues, one for each model. */
export function createWorkerSlotQueue(deps: WorkerSlotQueueDeps): WorkerSlotQueue {
  return new ModelSlotQueue(deps);
}
