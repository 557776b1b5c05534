/**
 * Detects workers that stopped responding. When no attempt at a worker has received data for a while, it opens a
 * connection to the worker; a worker that cannot be reached is marked unresponsive until a connection succeeds.
 */
import type { RegistryRow, WorkerRegistry } from '../../state/discovery/worker-registry.js';
import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { ConnectionPool } from '../../transport/opaque-http.js';

/**
 * An attempt at a worker. `lastEventAt` is when its last data arrived, by the monotonic clock. `onUnresponsive` is
 * called when the worker cannot be reached.
 */
export type WatchedAttempt = { readonly sentAt: number; lastEventAt: number; readonly onUnresponsive: () => void };

/** Must be notified when attempts begin and end, and when connecting to a worker failed. */
export interface UnresponsiveWorkerWatch {
  begin(row: RegistryRow, attempt: WatchedAttempt): void;
  end(row: RegistryRow, attempt: WatchedAttempt): void;
  unreached(row: RegistryRow): void;
  stop(): void;
}

/**
 * `responseTimeoutMs` is how long all attempts at a worker may be without data before its connection is checked.
 * `onReached` is called when a suspected worker is reachable again.
 */
export type UnresponsiveWorkerWatchDeps = {
  readonly registry: WorkerRegistry;
  readonly connectionPool: ConnectionPool;
  readonly clock: Clock;
  readonly log: Log;
  readonly responseTimeoutMs: number;
  readonly onReached: () => void;
};

const CHECK_INTERVAL_MS = 100;
const RECHECK_INTERVAL_MS = 1_500;

class DiallingWorkerWatch implements UnresponsiveWorkerWatch {
  private readonly attemptsByWorker = new Map<RegistryRow, Set<WatchedAttempt>>();
  private readonly pendingChecks = new Set<RegistryRow>();
  private readonly lastReachedAt = new Map<RegistryRow, number>();
  private isArmed = false;
  private stopped = false;

  constructor(private readonly deps: UnresponsiveWorkerWatchDeps) {}

  begin(row: RegistryRow, attempt: WatchedAttempt): void {
    const attempts = this.attemptsByWorker.get(row) ?? new Set<WatchedAttempt>();
    this.attemptsByWorker.set(row, attempts);
    attempts.add(attempt);
    this.arm();
  }

  end(row: RegistryRow, attempt: WatchedAttempt): void {
    const attempts = this.attemptsByWorker.get(row);
    attempts?.delete(attempt);
    if (attempts?.size === 0) {
      this.attemptsByWorker.delete(row);
      this.lastReachedAt.delete(row);
    }
  }

  private quietMs(attempts: ReadonlySet<WatchedAttempt>, now: number): number {
    let quietMs = Infinity;
    for (const attempt of attempts) quietMs = Math.min(quietMs, now - Math.max(attempt.sentAt, attempt.lastEventAt));
    return quietMs;
  }

  private checkConnection(row: RegistryRow): void {
    if (this.pendingChecks.has(row)) return;
    this.pendingChecks.add(row);

    const onChecked = (reached: boolean): void => {
      this.pendingChecks.delete(row);
      const now = this.deps.clock.mono();
      if (reached) {
        this.lastReachedAt.set(row, now);
        if (row.isSuspected) {
          this.deps.registry.markReachable(row, now);
          this.deps.onReached();
        }
        return;
      }
      const isNewlySuspected = !row.isSuspected;
      this.deps.registry.markUnresponsive(row, now);
      this.arm();
      if (!isNewlySuspected) return;
      this.deps.log.warn('worker unreachable', { workerId: row.entry.id, zone: row.entry.zone });
      this.suspectZone(row);
      for (const attempt of [...(this.attemptsByWorker.get(row) ?? [])]) attempt.onUnresponsive();
    };
    this.deps.connectionPool.check(row.entry.address, this.deps.registry.connectMs(row), onChecked);
  }

  /**
   * Checks the other workers of an unreachable worker's zone and suspects them meanwhile, except those with recent
   * data. Where many proxies share the workers, those without requests or open connections here are not checked.
   */
  private suspectZone(row: RegistryRow): void {
    for (const other of this.deps.registry.rows()) {
      if (other === row || other.isSuspected || !other.present || other.entry.zone !== row.entry.zone) continue;
      if (
        !this.deps.registry.hasFewSharingProxies() &&
        other.running === 0 &&
        this.deps.connectionPool.open(other.entry.address) === 0
      )
        continue;
      const attempts = this.attemptsByWorker.get(other);
      if (attempts && this.quietMs(attempts, this.deps.clock.mono()) < this.deps.responseTimeoutMs / 2) continue;
      other.isSuspected = true;
      this.checkConnection(other);
    }
  }

  unreached(row: RegistryRow): void {
    const isNewlySuspected = !row.isSuspected;
    this.deps.registry.markUnresponsive(row, this.deps.clock.mono());
    if (isNewlySuspected) this.suspectZone(row);
    this.arm();
  }

  private checkAll(): void {
    const now = this.deps.clock.mono();
    for (const [row, attempts] of this.attemptsByWorker) {
      if (
        this.quietMs(attempts, now) < this.deps.responseTimeoutMs ||
        now - (this.lastReachedAt.get(row) ?? -RECHECK_INTERVAL_MS) < RECHECK_INTERVAL_MS
      )
        continue;
      if (!row.isSuspected) this.checkConnection(row);
    }
    let hasWork = this.attemptsByWorker.size > 0;
    for (const row of this.deps.registry.rows()) {
      if (!row.isSuspected || !row.present) continue;
      hasWork = true;
      if (row.badUntil <= now) this.checkConnection(row);
    }
    if (hasWork) this.arm();
  }

  private tick(): void {
    this.isArmed = false;
    if (!this.stopped) this.checkAll();
  }

  private arm(): void {
    if (this.isArmed) return;
    this.isArmed = true;
    this.deps.clock.timer(CHECK_INTERVAL_MS, () => this.tick());
  }

  stop(): void {
    this.stopped = true;
  }
}

/** Creates a watch that runs its timer only while attempts are pending or workers are suspected. */
export function createUnresponsiveWorkerWatch(deps: UnresponsiveWorkerWatchDeps): UnresponsiveWorkerWatch {
  return new DiallingWorkerWatch(deps);
}
