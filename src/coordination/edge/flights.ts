import type { WorkerRow } from '../../state/worker-row.js';
import type { WorkerTable } from '../../state/worker-table.js';
import type { Clock } from '../../transport/clock.js';

export type Flight = {
  readonly row: WorkerRow;
  readonly stop: AbortController;
  readonly heard: () => void;
};

export type Flights = {
  readonly takeOff: (row: WorkerRow, pieceWaitMs: number) => Flight;
  readonly land: (flight: Flight) => boolean;
  readonly endLost: () => void;
  readonly open: () => number;
};

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

export function createFlights(table: WorkerTable, clock: Clock): Flights {
  const watched = new Map<Flight, Watched>();

  function takeOff(row: WorkerRow, pieceWaitMs: number): Flight {
    const flight: Flight = { row, stop: new AbortController(), heard };
    const w: Watched = { flight, pieceWaitMs, pieces: false, lastAt: clock.mono(), goneAt: null };
    watched.set(flight, w);
    return flight;
    function heard(): void {
      w.lastAt = clock.mono();
      w.pieces = true;
    }
  }

  function land(flight: Flight): boolean {
    return watched.delete(flight);
  }

  function isLost(w: Watched, now: number): boolean {
    const { row } = w.flight;
    if (row.leaveBy !== null && now > row.leaveBy + LEAVE_SLACK_MS) return true;
    if (!table.isCurrent(row)) return true;
    if (row.present) w.goneAt = null;
    else w.goneAt ??= now;
    if (w.goneAt !== null && now - w.goneAt > GONE_MS) return true;
    const quietMs = now - w.lastAt;
    if (row.silences >= SILENCES_DARK && quietMs > DARK_MS) return true;
    return w.pieces && quietMs > w.pieceWaitMs;
  }

  function endLost(): void {
    const now = clock.mono();
    for (const w of watched.values()) if (isLost(w, now)) w.flight.stop.abort();
  }

  function open(): number {
    return watched.size;
  }
  return { takeOff, land, endLost, open };
}
