/**
 * Finds a worker for a request with a ticket, or lets it wait in its model's bounded queue until one has
 * room. Refuses at once whoever would not get a worker in time at the pace of the queue.
 */
import type { ShedReason } from '../../protocol/caller-wire.js';
import type { Candidate } from '../../state/candidate.js';
import { createLinePace } from '../../state/line-pace.js';
import type { LinePace } from '../../state/line-pace.js';
import type { Resolved } from '../../state/settings-tree.js';
import type { Ticket } from '../../state/ticket.js';
import type { WorkerRow } from '../../state/worker-row.js';
import type { WorkerTable } from '../../state/worker-table.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { Placer } from './placer.js';

/** A worker with one of its places taken, or why there is none and when to come back. */
export type Seat =
  | { readonly tag: 'seat'; readonly candidate: Candidate; readonly row: WorkerRow }
  | { readonly tag: 'none'; readonly reason: ShedReason; readonly comeBackMs: number };

/** What a request asks of the queue. */
export type SeatAsk = {
  readonly ticket: Ticket;
  readonly parts: readonly string[];
  readonly values: Resolved;
  /** Workers that were tried. */
  readonly avoid: ReadonlySet<number>;
  readonly waitUntil: number;
  readonly gone: () => boolean;
};

export interface SeatQueue {
  seat(ask: SeatAsk): Promise<Seat>;
  /** Gives a place back. */
  leave(row: WorkerRow): void;
  wake(): void;
  waiting(): number;
  /** From now on everyone is refused. */
  close(): void;
}

export type SeatQueueDeps = {
  readonly ready: () => boolean;
  readonly placer: Placer;
  readonly table: WorkerTable;
  readonly clock: Clock;
};

type Waiter = { readonly poke: () => void };

const COME_BACK_MS = 1_000;

class ModelSeatQueue implements SeatQueue {
  private readonly waiters = new Set<Waiter>();
  private readonly lengths = new Map<string, number>();
  private readonly paces = new Map<string, LinePace>();
  private open = true;

  constructor(private readonly deps: SeatQueueDeps) {}

  private none(reason: ShedReason, comeBackMs = COME_BACK_MS): Seat {
    return { tag: 'none', reason, comeBackMs };
  }

  private lengthOf(model: string): number {
    return this.lengths.get(model) ?? 0;
  }

  private paceOf(model: string): LinePace {
    const pace = this.paces.get(model) ?? createLinePace();
    this.paces.set(model, pace);
    return pace;
  }

  /** A seat, a refusal, or null where only room is lacking. */
  private look(ask: SeatAsk): Seat | null {
    const { ticket, parts, avoid } = ask;
    const choice = this.deps.placer.choose({
      model: ticket.model,
      parts,
      homes: this.deps.placer.homesOf(ticket.model, ticket.bound),
      avoid,
    });
    if (choice.tag !== 'chosen')
      return choice.stoppedBy === 'room' ? null : this.none(avoid.size > 0 ? 'workersShed' : 'noWorker');
    const row = this.deps.table.begin(choice.candidate.ix);
    if (!row) return this.none('noWorker');
    this.paceOf(ticket.model).note(this.deps.clock.mono());
    return { tag: 'seat', candidate: choice.candidate, row };
  }

  private whyNot(ask: SeatAsk): Seat | null {
    if (!this.open) return this.none('stopping');
    if (!this.deps.ready()) return this.none('notReady');
    return ask.gone() ? this.none('lineWaitOver') : null;
  }

  async seat(ask: SeatAsk): Promise<Seat> {
    const { model } = ask.ticket;
    const atOnce = this.whyNot(ask) ?? (this.lengthOf(model) === 0 ? this.look(ask) : null);
    if (atOnce) return atOnce;
    const now = this.deps.clock.mono();
    const ahead = this.lengthOf(model);
    const expected = this.paceOf(model).expectedWaitMs(ahead, now);
    if (ahead >= ask.values.lineLimit || (expected !== null && now + expected > ask.waitUntil))
      return this.none('lineFull', expected ?? ask.values.lineWaitMs);
    this.lengths.set(model, ahead + 1);
    const end = await this.wait(ask);
    this.lengths.set(model, this.lengthOf(model) - 1);
    return end;
  }

  private async wait(ask: SeatAsk): Promise<Seat> {
    const { model } = ask.ticket;
    for (;;) {
      const now = this.deps.clock.mono();
      if (now >= ask.waitUntil)
        return this.none('lineWaitOver', this.paceOf(model).expectedWaitMs(this.lengthOf(model), now) ?? COME_BACK_MS);
      await this.nextPoke(ask.waitUntil - now);
      const end = this.whyNot(ask) ?? this.look(ask);
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

  leave(row: WorkerRow): void {
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

export function createSeatQueue(deps: SeatQueueDeps): SeatQueue {
  return new ModelSeatQueue(deps);
}
