import type { BookRow, WorkerRegistry } from '../../state/worker-registry.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { ConnectionPool } from '../../transport/open-http.js';

export type WatchedFlight = { readonly sentAt: number; lastEventAt: number; readonly onUnresponsive: () => void };

export interface UnresponsiveWorkerWatch {
  begin(row: BookRow, flight: WatchedFlight): void;
  end(row: BookRow, flight: WatchedFlight): void;
  unreached(row: BookRow): void;
  stop(): void;
}

export type UnresponsiveWorkerWatchDeps = {
  readonly book: WorkerRegistry;
  readonly connectionPool: ConnectionPool;
  readonly clock: Clock;
  readonly log: Log;
  readonly responseTimeoutMs: number;
  readonly onReached: () => void;
};

const LOOK_MS = 100;
const RECHECK_MS = 1_500;

class DiallingWorkerWatch implements UnresponsiveWorkerWatch {
  private readonly flights = new Map<BookRow, Set<WatchedFlight>>();
  private readonly checking = new Set<BookRow>();
  private readonly spokenFor = new Map<BookRow, number>();
  private looking = false;
  private stopped = false;

  constructor(private readonly deps: UnresponsiveWorkerWatchDeps) {}

  begin(row: BookRow, flight: WatchedFlight): void {
    const of = this.flights.get(row) ?? new Set<WatchedFlight>();
    this.flights.set(row, of);
    of.add(flight);
    this.arm();
  }

  end(row: BookRow, flight: WatchedFlight): void {
    const of = this.flights.get(row);
    of?.delete(flight);
    if (of?.size === 0) {
      this.flights.delete(row);
      this.spokenFor.delete(row);
    }
  }

  private quietMs(of: ReadonlySet<WatchedFlight>, now: number): number {
    let least = Infinity;
    for (const f of of) least = Math.min(least, now - Math.max(f.sentAt, f.lastEventAt));
    return least;
  }

  private check(row: BookRow): void {
    if (this.checking.has(row)) return;
    this.checking.add(row);

    const done = (reached: boolean): void => {
      this.checking.delete(row);
      const now = this.deps.clock.mono();
      if (reached) {
        this.spokenFor.set(row, now);
        if (row.unproven) {
          this.deps.book.reached(row, now);
          this.deps.onReached();
        }
        return;
      }
      const first = !row.unproven;
      this.deps.book.silent(row, now);
      this.arm();
      if (!first) return;
      this.deps.log.warn(`${row.entry.id} in ${row.entry.zone} can't be reached.`);
      this.suspectZone(row);
      for (const f of [...(this.flights.get(row) ?? [])]) f.onUnresponsive();
    };
    this.deps.connectionPool.check(row.entry.address, this.deps.book.connectMs(row), done);
  }

  private suspectZone(row: BookRow): void {
    for (const other of this.deps.book.rows()) {
      if (other === row || other.unproven || !other.present || other.entry.zone !== row.entry.zone) continue;
      if (
        !this.deps.book.fewSharers() &&
        other.running === 0 &&
        this.deps.connectionPool.open(other.entry.address) === 0
      )
        continue;
      const of = this.flights.get(other);
      if (of && this.quietMs(of, this.deps.clock.mono()) < this.deps.responseTimeoutMs / 2) continue;
      other.unproven = true;
      this.check(other);
    }
  }

  unreached(row: BookRow): void {
    const first = !row.unproven;
    this.deps.book.silent(row, this.deps.clock.mono());
    if (first) this.suspectZone(row);
    this.arm();
  }

  private look(): void {
    const now = this.deps.clock.mono();
    for (const [row, of] of this.flights) {
      if (
        this.quietMs(of, now) < this.deps.responseTimeoutMs ||
        now - (this.spokenFor.get(row) ?? -RECHECK_MS) < RECHECK_MS
      )
        continue;
      if (!row.unproven) this.check(row);
    }
    let open = this.flights.size > 0;
    for (const row of this.deps.book.rows()) {
      if (!row.unproven || !row.present) continue;
      open = true;
      if (row.badUntil <= now) this.check(row);
    }
    if (open) this.arm();
  }

  private turn(): void {
    this.looking = false;
    if (!this.stopped) this.look();
  }

  private arm(): void {
    if (this.looking) return;
    this.looking = true;
    this.deps.clock.timer(LOOK_MS, () => this.turn());
  }

  stop(): void {
    this.stopped = true;
  }
}

export function createUnresponsiveWorkerWatch(deps: UnresponsiveWorkerWatchDeps): UnresponsiveWorkerWatch {
  return new DiallingWorkerWatch(deps);
}
