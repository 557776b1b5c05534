/**
 * Selects the rows of the summed loads to send next. Loads change with every request, and a table of all workers is too
 * large to send each time, so only rows that differ from the last ones sent are due: at once if the difference matters
 * for selecting a worker, after a delay if it is small. The delay before the next message grows with the bytes of the
 * last one, which bounds the rate at a receiver for any number of workers.
 */
import { isZeroRow, isEqualRow, ZERO_ROW } from './load-rows.js';
import type { LoadRow, LoadRows } from './load-rows.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/** Tracks the rows that were sent. A worker whose load has ended is sent once, as a row of zeros. */
export interface LoadChanges {
  /** Returns the rows to send now; null if no row is due or the rate limit does not allow a message yet. */
  next(sums: LoadRows, now: number): LoadRows | null;
  /** Returns the whole table as it was sent so far, for a receiver that joins now. */
  told(): LoadRows;
  /** Whether the table that `told` returns is empty. */
  isEmpty(): boolean;
}

/** A difference of at least this many requests, unread prompt tokens or KV cache tokens goes into the next message. */
const MIN_SIGNIFICANT_CHANGE = { running: 2, unreadTokens: 1_000, kvTokens: 20_000 };
/** A smaller difference is sent once the row was last sent this long ago. */
const SMALL_CHANGE_DELAY_MS = 500;
/** Rate limit for each receiver, in bytes per millisecond: 5 KB a second. */
const MAX_BYTES_PER_MS = 5;

type SentRow = { readonly row: LoadRow; readonly at: number };

class RateLimitedLoadChanges implements LoadChanges {
  private readonly rows = new Map<string, SentRow>();
  private nextSendAt = -Infinity;

  next(sums: LoadRows, now: number): LoadRows | null {
    if (now < this.nextSendAt) return null;
    const changedRows: LoadRows = {};
    let bytes = 0;
    for (const id of this.knownIds(sums)) {
      const row = ownValue(sums, id) ?? ZERO_ROW;
      if (!this.isDue(id, row, now)) continue;
      setOwnValue(changedRows, id, row);
      bytes += encodedBytes(id, row);
      if (isZeroRow(row)) this.rows.delete(id);
      else this.rows.set(id, { row, at: now });
    }
    if (bytes === 0) return null;
    this.nextSendAt = now + bytes / MAX_BYTES_PER_MS;
    return changedRows;
  }

  told(): LoadRows {
    const rows: LoadRows = {};
    for (const [id, { row }] of this.rows) setOwnValue(rows, id, row);
    return rows;
  }

  isEmpty(): boolean {
    return this.rows.size === 0;
  }

  private knownIds(sums: LoadRows): Set<string> {
    const ids = new Set(Object.keys(sums));
    for (const id of this.rows.keys()) ids.add(id);
    return ids;
  }

  private isDue(id: string, row: LoadRow, now: number): boolean {
    const sent = this.rows.get(id);
    const previous = sent?.row ?? ZERO_ROW;
    if (isEqualRow(previous, row)) return false;
    return isSignificant(previous, row) || now - (sent?.at ?? -Infinity) >= SMALL_CHANGE_DELAY_MS;
  }
}

/** Creates a tracker with an empty table. */
export function createLoadChanges(): LoadChanges {
  return new RateLimitedLoadChanges();
}

function isSignificant(previous: LoadRow, current: LoadRow): boolean {
  return (
    Math.abs(previous[0] - current[0]) >= MIN_SIGNIFICANT_CHANGE.running ||
    Math.abs(previous[1] - current[1]) >= MIN_SIGNIFICANT_CHANGE.unreadTokens ||
    Math.abs(previous[2] - current[2]) >= MIN_SIGNIFICANT_CHANGE.kvTokens ||
    previous[3] !== current[3]
  );
}
function encodedBytes(id: string, row: LoadRow): number {
  return id.length + JSON.stringify(row).length + 4;
}
