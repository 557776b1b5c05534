/**
 * Finds workers that stopped responding: where all attempts at a worker are quiet it dials the worker, and one that
 * can't be reached is marked unresponsive until it can.
 */
import type { RegistryRow, WorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { ConnectionPool } from '../../transport/opaque-http.js';

/** An attempt at a worker; `lastEventAt` is when its last byte came, by the monotonic clock. */
export type WatchedAttempt = { readonly sentAt: number; lastEventAt: number; readonly onUnresponsive: () => void };

/** To be told when attempts begin and end, and of connections that failed. */
export interface UnresponsiveWorkerWatch {
  begin(row: RegistryRow, call: WatchedAttempt): void;
  end(row: RegistryRow, call: WatchedAttempt): void;
  unreached(row: RegistryRow): void;
  stop(): void;
}

/** `responseTimeoutMs` is how long all attempts at a worker may be quiet before it is dialled. */
export type UnresponsiveWorkerWatchDeps = {
  readonly registry: WorkerRegistry;
  readonly connectionPool: ConnectionPool;
  readonly clock: Clock;
  readonly log: Log;
  readonly responseTimeoutMs: number;
  readonly onReached: () => void;
};

const LOOK_MS = 100;
const RECHECK_MS = 1_500;

class DiallingWorkerWatch implements UnresponsiveWorkerWatch {
  private readonly pending = new Map<RegistryRow, Set<WatchedAttempt>>();
  private readonly checking = new Set<RegistryRow>();
  private readonly spokenFor = new Map<RegistryRow, number>();
  private looking = false;
  private stopped = false;

  constructor(private readonly deps: UnresponsiveWorkerWatchDeps) {}

  begin(row: RegistryRow, call: WatchedAttempt): void {
    const watched = this.pending.get(row) ?? new Set<WatchedAttempt>();
    this.pending.set(row, watched);
    watched.add(call);
    this.arm();
  }

  end(row: RegistryRow, call: WatchedAttempt): void {
    const watched = this.pending.get(row);
    watched?.delete(call);
    if (watched?.size === 0) {
      this.pending.delete(row);
      this.spokenFor.delete(row);
    }
  }

  private quietMs(watched: ReadonlySet<WatchedAttempt>, now: number): number {
    let least = Infinity;
    for (const watchedAttempt of watched)
      least = Math.min(least, now - Math.max(watchedAttempt.sentAt, watchedAttempt.lastEventAt));
    return least;
  }

  private check(row: RegistryRow): void {
    if (this.checking.has(row)) return;
    this.checking.add(row);

    const done = (reached: boolean): void => {
      this.checking.delete(row);
      const now = this.deps.clock.mono();
      if (reached) {
        this.spokenFor.set(row, now);
        if (row.unproven) {
          this.deps.registry.markReachable(row, now);
          this.deps.onReached();
        }
        return;
      }
      const first = !row.unproven;
      this.deps.registry.markUnresponsive(row, now);
      this.arm();
      if (!first) return;
      this.deps.log.warn('worker unreachable', { workerId: row.entry.id, zone: row.entry.zone });
      this.suspectZone(row);
      for (const watchedAttempt of [...(this.pending.get(row) ?? [])]) watchedAttempt.onUnresponsive();
    };
    this.deps.connectionPool.check(row.entry.address, this.deps.registry.connectMs(row), done);
  }

  private suspectZone(row: RegistryRow): void {
    for (const other of this.deps.registry.rows()) {
      if (other === row || other.unproven || !other.present || other.entry.zone !== row.entry.zone) continue;
      if (
        !this.deps.registry.hasFewSharingProxies() &&
        other.running === 0 &&
        this.deps.connectionPool.open(other.entry.address) === 0
      )
        continue;
      const watched = this.pending.get(other);
      if (watched && this.quietMs(watched, this.deps.clock.mono()) < this.deps.responseTimeoutMs / 2) continue;
      other.unproven = true;
      this.check(other);
    }
  }

  unreached(row: RegistryRow): void {
    const first = !row.unproven;
    this.deps.registry.markUnresponsive(row, this.deps.clock.mono());
    if (first) this.suspectZone(row);
    this.arm();
  }

  private checkAll(): void {
    const now = this.deps.clock.mono();
    for (const [row, watched] of this.pending) {
      if (
        this.quietMs(watched, now) < this.deps.responseTimeoutMs ||
        now - (this.spokenFor.get(row) ?? -RECHECK_MS) < RECHECK_MS
      )
        continue;
      if (!row.unproven) this.check(row);
    }
    let open = this.pending.size > 0;
    for (const row of this.deps.registry.rows()) {
      if (!row.unproven || !row.present) continue;
      open = true;
      if (row.badUntil <= now) this.check(row);
    }
    if (open) this.arm();
  }

  private turn(): void {
    this.looking = false;
    if (!this.stopped) this.checkAll();
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

/** A watch that looks only while there is something to watch. */
export function createUnresponsiveWorkerWatch(deps: UnresponsiveWorkerWatchDeps): UnresponsiveWorkerWatch {
  return new DiallingWorkerWatch(deps);
}
