/**
 * Which rows of the summed loads are told next. Loads change with every request, and a table of all
 * workers is too large to be sent each time: only rows that differ from what was told are, at once where
 * the difference matters to a choice of worker, after a while where it is small. The time to the next
 * message follows the bytes of the last one, so that a receiver gets no more than a fixed rate however
 * many workers there are.
 */
import { isNothing, isSameRow, NOTHING } from './load-rows.js';
import type { LoadRow, LoadRows } from './load-rows.js';

/** Rows that differ; those with nothing on them any more are told as zeros. */
export interface LoadChanges {
  /** The rows to tell now, or null while there is nothing to tell or the bytes of the last message forbid it. */
  next(sums: LoadRows, now: number): LoadRows | null;
  /** All that has been told so far, for whoever is told for the first time. */
  told(): LoadRows;
  /** Whether no load stands as told. */
  isEmpty(): boolean;
}

/** From here a difference is told with the next message: requests, tokens to be read, tokens of KV cache. */
const SIGNIFICANT = { running: 2, unread: 1_000, kvTokens: 20_000 };
/** A smaller difference is told after so long. */
const SMALL_AFTER_MS = 500;
/** Bytes for each millisecond that a receiver is told at most: 5 KB a second. */
const BYTES_PER_MS = 5;

type ToldRow = { readonly row: LoadRow; readonly at: number };

class PacedLoadChanges implements LoadChanges {
  private readonly rows = new Map<string, ToldRow>();
  private nextAt = -Infinity;

  next(sums: LoadRows, now: number): LoadRows | null {
    if (now < this.nextAt) return null;
    const out: LoadRows = {};
    let bytes = 0;
    for (const id of this.idsOf(sums)) {
      const row = sums[id] ?? NOTHING;
      if (!this.isDue(id, row, now)) continue;
      out[id] = row;
      bytes += bytesOf(id, row);
      if (isNothing(row)) this.rows.delete(id);
      else this.rows.set(id, { row, at: now });
    }
    if (bytes === 0) return null;
    this.nextAt = now + bytes / BYTES_PER_MS;
    return out;
  }

  told(): LoadRows {
    const out: LoadRows = {};
    for (const [id, { row }] of this.rows) out[id] = row;
    return out;
  }

  isEmpty(): boolean {
    return this.rows.size === 0;
  }

  private idsOf(sums: LoadRows): Set<string> {
    const ids = new Set(Object.keys(sums));
    for (const id of this.rows.keys()) ids.add(id);
    return ids;
  }

  private isDue(id: string, row: LoadRow, now: number): boolean {
    const told = this.rows.get(id);
    const before = told?.row ?? NOTHING;
    if (isSameRow(before, row)) return false;
    return isSignificant(before, row) || now - (told?.at ?? -Infinity) >= SMALL_AFTER_MS;
  }
}

/** Nothing has been told yet. */
export function createLoadChanges(): LoadChanges {
  return new PacedLoadChanges();
}

function isSignificant(before: LoadRow, now: LoadRow): boolean {
  return (
    Math.abs(before[0] - now[0]) >= SIGNIFICANT.running ||
    Math.abs(before[1] - now[1]) >= SIGNIFICANT.unread ||
    Math.abs(before[2] - now[2]) >= SIGNIFICANT.kvTokens ||
    before[3] !== now[3]
  );
}
function bytesOf(id: string, row: LoadRow): number {
  return id.length + JSON.stringify(row).length + 4;
}
