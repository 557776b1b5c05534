import type { BookRow, WorkerRegistry } from '../../state/worker-registry.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { ConnectionPool } from '../../transport/open-http.js';

export type WatchedFlight = { readonly sentAt: number; heardAt: number; readonly onSilent: () => void };

export type SilenceWatch = {
  readonly begin: (row: BookRow, flight: WatchedFlight) => void;
  readonly end: (row: BookRow, flight: WatchedFlight) => void;
  readonly unreached: (row: BookRow) => void;
  readonly stop: () => void;
};

export type SilenceWatchDeps = {
  readonly book: WorkerRegistry;
  readonly connectionPool: ConnectionPool;
  readonly clock: Clock;
  readonly log: Log;
  readonly silentMs: number;
  readonly onReached: () => void;
};

const LOOK_MS = 100;
const RECHECK_MS = 1_500;

export function createSilenceWatch(deps: SilenceWatchDeps): SilenceWatch {
  const { book, connectionPool, clock, log } = deps;
  const flights = new Map<BookRow, Set<WatchedFlight>>();
  const checking = new Set<BookRow>();
  const spokenFor = new Map<BookRow, number>();

  function begin(row: BookRow, flight: WatchedFlight): void {
    const of = flights.get(row) ?? new Set<WatchedFlight>();
    flights.set(row, of);
    of.add(flight);
    arm();
  }
  function end(row: BookRow, flight: WatchedFlight): void {
    const of = flights.get(row);
    of?.delete(flight);
    if (of?.size === 0) {
      flights.delete(row);
      spokenFor.delete(row);
    }
  }

  function quietMs(of: ReadonlySet<WatchedFlight>, now: number): number {
    let least = Infinity;
    for (const f of of) least = Math.min(least, now - Math.max(f.sentAt, f.heardAt));
    return least;
  }

  function check(row: BookRow): void {
    if (checking.has(row)) return;
    checking.add(row);
    function done(reached: boolean): void {
      checking.delete(row);
      const now = clock.mono();
      if (reached) {
        spokenFor.set(row, now);
        if (row.unproven) {
          book.reached(row, now);
          deps.onReached();
        }
        return;
      }
      const first = !row.unproven;
      book.silent(row, now);
      arm();
      if (!first) return;
      log.warn(`${row.entry.id} in ${row.entry.zone} can't be reached.`);
      suspectZone(row);
      for (const f of [...(flights.get(row) ?? [])]) f.onSilent();
    }
    connectionPool.check(row.entry.address, book.connectMs(row), done);
  }

  function suspectZone(row: BookRow): void {
    for (const other of book.rows()) {
      if (other === row || other.unproven || !other.present || other.entry.zone !== row.entry.zone) continue;
      if (!book.fewSharers() && other.running === 0 && connectionPool.open(other.entry.address) === 0) continue;
      const of = flights.get(other);
      if (of && quietMs(of, clock.mono()) < deps.silentMs / 2) continue;
      other.unproven = true;
      check(other);
    }
  }

  function unreached(row: BookRow): void {
    const first = !row.unproven;
    book.silent(row, clock.mono());
    if (first) suspectZone(row);
    arm();
  }

  function look(): void {
    const now = clock.mono();
    for (const [row, of] of flights) {
      if (quietMs(of, now) < deps.silentMs || now - (spokenFor.get(row) ?? -RECHECK_MS) < RECHECK_MS) continue;
      if (!row.unproven) check(row);
    }
    let open = flights.size > 0;
    for (const row of book.rows()) {
      if (!row.unproven || !row.present) continue;
      open = true;
      if (row.badUntil <= now) check(row);
    }
    if (open) arm();
  }
  let looking = false;
  let stopped = false;
  function turn(): void {
    looking = false;
    if (!stopped) look();
  }
  function arm(): void {
    if (looking) return;
    looking = true;
    clock.timer(LOOK_MS, turn);
  }
  function stop(): void {
    stopped = true;
  }
  return { begin, end, unreached, stop };
}
