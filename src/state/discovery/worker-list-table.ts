/** The versioned worker list, of which only changes need to be sent. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import type { WorkerEntry } from './worker-entry.js';

/** Schema of a version: term, reader and counter, compared in this order. */
export const WorkerListVersionShape = Type.Tuple([
  Type.Integer({ minimum: 0 }),
  Type.String({ minLength: 1, maxLength: 256 }),
  Type.Integer({ minimum: 0 }),
]);
/** A validated version. */
export type WorkerListVersion = Static<typeof WorkerListVersionShape>;

/** Entries that are new or changed, and the ids of removed workers. */
export type WorkerListChange = { readonly changed: readonly WorkerEntry[]; readonly gone: readonly string[] };

/** The result of an update: applied, older than the table, or based on a version that the table does not have. */
export type ApplyResult = 'taken' | 'old' | 'gap';

/** The newest known list. `asOf` is when it was read, in milliseconds of the monotonic clock. */
export interface WorkerListTable {
  number(): WorkerListVersion | null;
  asOf(): number | null;
  entries(): readonly WorkerEntry[];
  applySnapshot(version: WorkerListVersion, entries: readonly WorkerEntry[], asOf: number): ApplyResult;
  applyChange(version: WorkerListVersion, base: WorkerListVersion, change: WorkerListChange, asOf: number): ApplyResult;
  confirm(version: WorkerListVersion, asOf: number): ApplyResult;
  differenceTo(entries: readonly WorkerEntry[], asOf: number): WorkerListChange;
}

type StoredEntry = { readonly entry: WorkerEntry; readonly readAt: number };

/** Smaller deviations of `remainingMs` and `coldMs` from the expected value do not count as a change. */
const DURATION_TOLERANCE_MS = 250;

/** Compares two versions: negative if `left` is older, 0 if they are equal, positive if `left` is newer. */
export function compareVersions(left: WorkerListVersion, right: WorkerListVersion): number {
  if (left[0] !== right[0]) return left[0] - right[0];
  if (left[1] !== right[1]) return left[1] < right[1] ? -1 : 1;
  return left[2] - right[2];
}

/** Returns whether a change contains neither changed entries nor removals. */
export function isEmptyChange(change: WorkerListChange): boolean {
  return change.changed.length === 0 && change.gone.length === 0;
}

/** Returns an entry with its remaining times reduced by `ms` milliseconds. */
export function agedEntry(entry: WorkerEntry, ms: number): WorkerEntry {
  if (ms <= 0 || (entry.remainingMs === null && entry.coldMs === 0)) return entry;
  return {
    ...entry,
    remainingMs: entry.remainingMs === null ? null : Math.max(0, entry.remainingMs - ms),
    coldMs: Math.max(0, entry.coldMs - ms),
  };
}

function isSameEntry(left: WorkerEntry, right: WorkerEntry): boolean {
  if (
    Math.abs(left.coldMs - right.coldMs) > DURATION_TOLERANCE_MS ||
    (left.remainingMs === null) !== (right.remainingMs === null)
  )
    return false;
  if (Math.abs((left.remainingMs ?? 0) - (right.remainingMs ?? 0)) > DURATION_TOLERANCE_MS) return false;
  return (
    JSON.stringify({ ...left, remainingMs: 0, coldMs: 0 }) === JSON.stringify({ ...right, remainingMs: 0, coldMs: 0 })
  );
}

class VersionedWorkerListTable implements WorkerListTable {
  private rows = new Map<string, StoredEntry>();
  private version: WorkerListVersion | null = null;
  private newestAsOf: number | null = null;
  private agedEntries: { readonly asOf: number; readonly entries: readonly WorkerEntry[] } | null = null;

  private latestAsOf(asOf: number): number {
    return this.newestAsOf === null ? asOf : Math.max(this.newestAsOf, asOf);
  }

  /** Stores entries; a reading older than the list does not withdraw a notice that a worker is leaving. */
  private putEntries(target: Map<string, StoredEntry>, entries: readonly WorkerEntry[], asOf: number): void {
    const isOlder = this.newestAsOf !== null && asOf < this.newestAsOf;
    for (const entry of entries) {
      const previous = this.rows.get(entry.id);
      target.set(entry.id, isOlder && previous?.entry.leaving ? previous : { entry, readAt: asOf });
    }
  }

  private advanceTo(version: WorkerListVersion, asOf: number): ApplyResult {
    this.version = version;
    this.newestAsOf = this.latestAsOf(asOf);
    this.agedEntries = null;
    return 'taken';
  }

  applySnapshot(version: WorkerListVersion, entries: readonly WorkerEntry[], asOf: number): ApplyResult {
    if (this.version && compareVersions(version, this.version) <= 0) return this.confirm(version, asOf);
    const rows = new Map<string, StoredEntry>();
    this.putEntries(rows, entries, asOf);
    this.rows = rows;
    return this.advanceTo(version, asOf);
  }

  applyChange(
    version: WorkerListVersion,
    base: WorkerListVersion,
    change: WorkerListChange,
    asOf: number,
  ): ApplyResult {
    if (this.version && compareVersions(version, this.version) <= 0) return this.confirm(version, asOf);
    if (!this.version || compareVersions(base, this.version) !== 0) return 'gap';
    for (const id of change.gone) this.rows.delete(id);
    this.putEntries(this.rows, change.changed, asOf);
    return this.advanceTo(version, asOf);
  }

  confirm(version: WorkerListVersion, asOf: number): ApplyResult {
    const order = this.version ? compareVersions(version, this.version) : 1;
    if (order > 0) return 'gap';
    if (order < 0) return 'old';
    this.newestAsOf = this.latestAsOf(asOf);
    return 'taken';
  }

  differenceTo(entries: readonly WorkerEntry[], asOf: number): WorkerListChange {
    const changed: WorkerEntry[] = [];
    const gone: string[] = [];
    const ids = new Set<string>();
    for (const entry of entries) {
      ids.add(entry.id);
      const row = this.rows.get(entry.id);
      if (!row || !isSameEntry(agedEntry(row.entry, asOf - row.readAt), entry)) changed.push(entry);
    }
    for (const id of this.rows.keys()) if (!ids.has(id)) gone.push(id);
    return { changed, gone };
  }

  entries(): readonly WorkerEntry[] {
    if (this.newestAsOf === null) return [];
    if (this.agedEntries?.asOf === this.newestAsOf) return this.agedEntries.entries;
    const aged: WorkerEntry[] = [];
    for (const row of this.rows.values()) aged.push(agedEntry(row.entry, this.newestAsOf - row.readAt));
    this.agedEntries = { asOf: this.newestAsOf, entries: aged };
    return aged;
  }

  number(): WorkerListVersion | null {
    return this.version;
  }

  asOf(): number | null {
    return this.newestAsOf;
  }
}

/** Creates an empty table. */
export function createWorkerListTable(): WorkerListTable {
  return new VersionedWorkerListTable();
}
