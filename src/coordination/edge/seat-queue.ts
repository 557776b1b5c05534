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

export type SeatQueue = {
  readonly seat: (ask: SeatAsk) => Promise<Seat>;
  /** Gives a place back. */
  readonly leave: (row: WorkerRow) => void;
  readonly wake: () => void;
  readonly waiting: () => number;
  /** From now on everyone is refused. */
  readonly close: () => void;
};

export type SeatQueueDeps = {
  readonly ready: () => boolean;
  readonly placer: Placer;
  readonly table: WorkerTable;
  readonly clock: Clock;
};

type Waiter = { readonly poke: () => void };

const COME_BACK_MS = 1_000;

export function createSeatQueue(deps: SeatQueueDeps): SeatQueue {
  const { ready, placer, table, clock } = deps;
  const waiters = new Set<Waiter>();
  const lengths = new Map<string, number>();
  const paces = new Map<string, LinePace>();
  let open = true;

  function none(reason: ShedReason, comeBackMs = COME_BACK_MS): Seat {
    return { tag: 'none', reason, comeBackMs };
  }
  function lengthOf(model: string): number {
    return lengths.get(model) ?? 0;
  }
  function paceOf(model: string): LinePace {
    const pace = paces.get(model) ?? createLinePace();
    paces.set(model, pace);
    return pace;
  }

  /** A seat, a refusal, or null where only room is lacking. */
  function look(ask: SeatAsk): Seat | null {
    const { ticket, parts, avoid } = ask;
    const choice = placer.choose({
      model: ticket.model,
      parts,
      homes: placer.homesOf(ticket.model, ticket.bound),
      avoid,
    });
    if (choice.tag !== 'chosen')
      return choice.stoppedBy === 'room' ? null : none(avoid.size > 0 ? 'workersShed' : 'noWorker');
    const row = table.begin(choice.candidate.ix);
    if (!row) return none('noWorker');
    paceOf(ticket.model).note(clock.mono());
    return { tag: 'seat', candidate: choice.candidate, row };
  }

  function whyNot(ask: SeatAsk): Seat | null {
    if (!open) return none('stopping');
    if (!ready()) return none('notReady');
    return ask.gone() ? none('lineWaitOver') : null;
  }

  async function seat(ask: SeatAsk): Promise<Seat> {
    const { model } = ask.ticket;
    const atOnce = whyNot(ask) ?? (lengthOf(model) === 0 ? look(ask) : null);
    if (atOnce) return atOnce;
    const now = clock.mono();
    const ahead = lengthOf(model);
    const expected = paceOf(model).expectedWaitMs(ahead, now);
    if (ahead >= ask.values.lineLimit || (expected !== null && now + expected > ask.waitUntil))
      return none('lineFull', expected ?? ask.values.lineWaitMs);
    lengths.set(model, ahead + 1);
    const end = await wait(ask);
    lengths.set(model, lengthOf(model) - 1);
    return end;
  }

  async function wait(ask: SeatAsk): Promise<Seat> {
    const { model } = ask.ticket;
    for (;;) {
      const now = clock.mono();
      if (now >= ask.waitUntil)
        return none('lineWaitOver', paceOf(model).expectedWaitMs(lengthOf(model), now) ?? COME_BACK_MS);
      await nextPoke(ask.waitUntil - now);
      const end = whyNot(ask) ?? look(ask);
      if (end) return end;
    }
  }

  function nextPoke(ms: number): Promise<void> {
    function start(resolve: () => void): void {
      const waiter: Waiter = { poke };
      const timer: Timer = clock.timer(ms, poke);
      waiters.add(waiter);
      function poke(): void {
        timer.cancel();
        waiters.delete(waiter);
        resolve();
      }
    }
    return new Promise(start);
  }

  function wake(): void {
    for (const waiter of [...waiters]) waiter.poke();
  }
  function leave(row: WorkerRow): void {
    table.end(row);
    wake();
  }
  function waiting(): number {
    let sum = 0;
    for (const length of lengths.values()) sum += length;
    return sum;
  }
  function close(): void {
    open = false;
    wake();
  }
  return { seat, leave, wake, waiting, close };
}
