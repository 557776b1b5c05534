/**
 * Tracks calls to workers that are in flight, and aborts a call whose worker is gone, replaced or unresponsive, or
 * whose stream has stalled.
 */
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import type { Clock } from '../../transport/clock.js';

/** A call in flight; `abortController` aborts it, and `onEvent` must be called for each event of a stream. */
export type PendingCall = {
  readonly row: WorkerRow;
  readonly abortController: AbortController;
  readonly onEvent: () => void;
};

/** All calls in flight. */
export interface PendingCalls {
  /** Starts tracking a call; `pieceWaitMs` is the longest gap allowed between two events of a stream. */
  begin(row: WorkerRow, pieceWaitMs: number): PendingCall;
  /** Stops tracking a call. Returns false if it was not tracked any more. */
  end(call: PendingCall): boolean;
  /** Aborts each call whose worker is gone, replaced or unresponsive, or whose stream has stalled. */
  abortLost(): void;
  size(): number;
}

type WatchedCall = {
  readonly call: PendingCall;
  readonly pieceWaitMs: number;
  hasReceivedEvent: boolean;
  lastEventAt: number;
  unlistedSince: number | null;
};

/** How long after the time by which its worker leaves a call may go on. */
const LEAVE_GRACE_MS = 200;
/** How long the worker of a call may be missing from the worker list. */
const UNLISTED_TIMEOUT_MS = 2_000;
/** How long a call may go without an event while its worker misses its health checks. */
const UNRESPONSIVE_TIMEOUT_MS = 2_000;
const UNRESPONSIVE_MISSED_PROBES = 2;

class WatchedPendingCalls implements PendingCalls {
  private readonly watched = new Map<PendingCall, WatchedCall>();

  constructor(
    private readonly table: WorkerTable,
    private readonly clock: Clock,
  ) {}

  begin(row: WorkerRow, pieceWaitMs: number): PendingCall {
    const onEvent = (): void => {
      watched.lastEventAt = this.clock.mono();
      watched.hasReceivedEvent = true;
    };
    const call: PendingCall = { row, abortController: new AbortController(), onEvent };
    const watched: WatchedCall = {
      call,
      pieceWaitMs,
      hasReceivedEvent: false,
      lastEventAt: this.clock.mono(),
      unlistedSince: null,
    };
    this.watched.set(call, watched);
    return call;
  }

  end(call: PendingCall): boolean {
    return this.watched.delete(call);
  }

  private isLost(watched: WatchedCall, now: number): boolean {
    const { row } = watched.call;
    if (row.leaveBy !== null && now > row.leaveBy + LEAVE_GRACE_MS) return true;
    if (!this.table.isCurrent(row)) return true;
    if (row.present) watched.unlistedSince = null;
    else watched.unlistedSince ??= now;
    if (watched.unlistedSince !== null && now - watched.unlistedSince > UNLISTED_TIMEOUT_MS) return true;
    const sinceLastEventMs = now - watched.lastEventAt;
    if (row.missedProbes >= UNRESPONSIVE_MISSED_PROBES && sinceLastEventMs > UNRESPONSIVE_TIMEOUT_MS) return true;
    return watched.hasReceivedEvent && sinceLastEventMs > watched.pieceWaitMs;
  }

  abortLost(): void {
    const now = this.clock.mono();
    for (const watched of this.watched.values()) if (this.isLost(watched, now)) watched.call.abortController.abort();
  }

  size(): number {
    return this.watched.size;
  }
}

/** Creates an empty set of calls. */
export function createPendingCalls(table: WorkerTable, clock: Clock): PendingCalls {
  return new WatchedPendingCalls(table, clock);
}
