/**
 * Calls to workers that are in flight, and when one of them has to be given up: its worker is gone, replaced or
 * unresponsive.
 */
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import type { Clock } from '../../transport/clock.js';

/** A call in flight; `abort` ends it, `onEvent` is to be called for each event of a stream. */
export type PendingCall = {
  readonly row: WorkerRow;
  readonly abort: AbortController;
  readonly onEvent: () => void;
};

/** All calls in flight. */
export interface PendingCalls {
  begin(row: WorkerRow, pieceWaitMs: number): PendingCall;
  end(call: PendingCall): boolean;
  endLost(): void;
  open(): number;
}

type Watched = {
  readonly call: PendingCall;
  readonly pieceWaitMs: number;
  pieces: boolean;
  lastAt: number;
  goneAt: number | null;
};

const LEAVE_SLACK_MS = 200;
const GONE_MS = 2_000;
const DARK_MS = 2_000;
const SILENCES_DARK = 2;

class WatchedPendingCalls implements PendingCalls {
  private readonly watched = new Map<PendingCall, Watched>();

  constructor(
    private readonly table: WorkerTable,
    private readonly clock: Clock,
  ) {}

  begin(row: WorkerRow, pieceWaitMs: number): PendingCall {
    const onEvent = (): void => {
      watched.lastAt = this.clock.mono();
      watched.pieces = true;
    };
    const call: PendingCall = { row, abort: new AbortController(), onEvent };
    const watched: Watched = { call, pieceWaitMs, pieces: false, lastAt: this.clock.mono(), goneAt: null };
    this.watched.set(call, watched);
    return call;
  }

  end(call: PendingCall): boolean {
    return this.watched.delete(call);
  }

  private isLost(watched: Watched, now: number): boolean {
    const { row } = watched.call;
    if (row.leaveBy !== null && now > row.leaveBy + LEAVE_SLACK_MS) return true;
    if (!this.table.isCurrent(row)) return true;
    if (row.present) watched.goneAt = null;
    else watched.goneAt ??= now;
    if (watched.goneAt !== null && now - watched.goneAt > GONE_MS) return true;
    const quietMs = now - watched.lastAt;
    if (row.missedProbes >= SILENCES_DARK && quietMs > DARK_MS) return true;
    return watched.pieces && quietMs > watched.pieceWaitMs;
  }

  endLost(): void {
    const now = this.clock.mono();
    for (const watched of this.watched.values()) if (this.isLost(watched, now)) watched.call.abort.abort();
  }

  open(): number {
    return this.watched.size;
  }
}

/** No calls yet. */
export function createPendingCalls(table: WorkerTable, clock: Clock): PendingCalls {
  return new WatchedPendingCalls(table, clock);
}
