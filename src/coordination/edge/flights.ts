import type { WorkerRow } from '../../state/worker-row.js';
import type { WorkerTable } from '../../state/worker-table.js';
import type { Clock } from '../../transport/clock.js';

export type Flight = {
  readonly row: WorkerRow;
  readonly stop: AbortController;
  readonly onEvent: () => void;
};

export interface Flights {
  takeOff(row: WorkerRow, pieceWaitMs: number): Flight;
  land(flight: Flight): boolean;
  endLost(): void;
  open(): number;
}

type Watched = {
  readonly flight: Flight;
  readonly pieceWaitMs: number;
  pieces: boolean;
  lastAt: number;
  goneAt: number | null;
};

const LEAVE_SLACK_MS = 200;
const GONE_MS = 2_000;
const DARK_MS = 2_000;
const SILENCES_DARK = 2;

class WatchedFlights implements Flights {
  private readonly watched = new Map<Flight, Watched>();

  constructor(
    private readonly table: WorkerTable,
    private readonly clock: Clock,
  ) {}

  takeOff(row: WorkerRow, pieceWaitMs: number): Flight {
    const onEvent = (): void => {
      w.lastAt = this.clock.mono();
      w.pieces = true;
    };
    const flight: Flight = { row, stop: new AbortController(), onEvent };
    const w: Watched = { flight, pieceWaitMs, pieces: false, lastAt: this.clock.mono(), goneAt: null };
    this.watched.set(flight, w);
    return flight;
  }

  land(flight: Flight): boolean {
    return this.watched.delete(flight);
  }

  private isLost(w: Watched, now: number): boolean {
    const { row } = w.flight;
    if (row.leaveBy !== null && now > row.leaveBy + LEAVE_SLACK_MS) return true;
    if (!this.table.isCurrent(row)) return true;
    if (row.present) w.goneAt = null;
    else w.goneAt ??= now;
    if (w.goneAt !== null && now - w.goneAt > GONE_MS) return true;
    const quietMs = now - w.lastAt;
    if (row.missedProbes >= SILENCES_DARK && quietMs > DARK_MS) return true;
    return w.pieces && quietMs > w.pieceWaitMs;
  }

  endLost(): void {
    const now = this.clock.mono();
    for (const w of this.watched.values()) if (this.isLost(w, now)) w.flight.stop.abort();
  }

  open(): number {
    return this.watched.size;
  }
}

export function createFlights(table: WorkerTable, clock: Clock): Flights {
  return new WatchedFlights(table, clock);
}
