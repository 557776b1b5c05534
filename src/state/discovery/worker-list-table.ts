/** The worker list under versions, so that only differences have to be sent. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import type { WorkerEntry } from './worker-entry.js';

/** A version: term, reader and count. A later term wins. */
export const WorkerListVersionShape = Type.Tuple([
  Type.Integer({ minimum: 0 }),
  Type.String({ minLength: 1, maxLength: 256 }),
  Type.Integer({ minimum: 0 }),
]);
/** A checked version. */
export type WorkerListVersion = Static<typeof WorkerListVersionShape>;

/** Workers that are new or differ, and ids of those gone. */
export type WorkerListChange = { readonly changed: readonly WorkerEntry[]; readonly gone: readonly string[] };

/** What became of an update: applied, older than the table, or built on a version that is not here. */
export type ApplyResult = 'taken' | 'old' | 'gap';

/** The newest list that is known. */
export interface WorkerListTable {
  number(): WorkerListVersion | null;
  asOf(): number | null;
  entries(): readonly WorkerEntry[];
  applySnapshot(number: WorkerListVersion, entries: readonly WorkerEntry[], asOf: number): ApplyResult;
  applyChange(number: WorkerListVersion, base: WorkerListVersion, change: WorkerListChange, asOf: number): ApplyResult;
  confirm(number: WorkerListVersion, asOf: number): ApplyResult;
  differenceTo(entries: readonly WorkerEntry[], asOf: number): WorkerListChange;
}

type Row = { readonly entry: WorkerEntry; readonly at: number };

const DRIFT_MS = 250;

/** Below, at or above 0 as `left` is older than, equal to or newer than `right`. */
export function compareVersions(left: WorkerListVersion, right: WorkerListVersion): number {
  if (left[0] !== right[0]) return left[0] - right[0];
  if (left[1] !== right[1]) return left[1] < right[1] ? -1 : 1;
  return left[2] - right[2];
}

/** Whether nothing changed. */
export function isEmptyChange(workerListChange: WorkerListChange): boolean {
  return workerListChange.changed.length === 0 && workerListChange.gone.length === 0;
}

/** An entry `ms` milliseconds later: its remaining times are shorter. */
export function agedEntry(event: WorkerEntry, ms: number): WorkerEntry {
  if (ms <= 0 || (event.remainingMs === null && event.coldMs === 0)) return event;
  return {
    ...event,
    remainingMs: event.remainingMs === null ? null : Math.max(0, event.remainingMs - ms),
    coldMs: Math.max(0, event.coldMs - ms),
  };
}

function sameEntry(left: WorkerEntry, right: WorkerEntry): boolean {
  if (Math.abs(left.coldMs - right.coldMs) > DRIFT_MS || (left.remainingMs === null) !== (right.remainingMs === null))
    return false;
  if (Math.abs((left.remainingMs ?? 0) - (right.remainingMs ?? 0)) > DRIFT_MS) return false;
  return (
    JSON.stringify({ ...left, remainingMs: 0, coldMs: 0 }) === JSON.stringify({ ...right, remainingMs: 0, coldMs: 0 })
  );
}

class VersionedWorkerListTable implements WorkerListTable {
  private rows = new Map<string, Row>();
  private version: WorkerListVersion | null = null;
  private at: number | null = null;
  private shown: { readonly at: number; readonly entries: readonly WorkerEntry[] } | null = null;

  private later(asOf: number): number {
    return this.at === null ? asOf : Math.max(this.at, asOf);
  }

  private put(into: Map<string, Row>, entries: readonly WorkerEntry[], asOf: number): void {
    const older = this.at !== null && asOf < this.at;
    for (const entry of entries) {
      const before = this.rows.get(entry.id);
      into.set(entry.id, older && before?.entry.leaving ? before : { entry, at: asOf });
    }
  }

  private advance(number: WorkerListVersion, asOf: number): ApplyResult {
    this.version = number;
    this.at = this.later(asOf);
    this.shown = null;
    return 'taken';
  }

  applySnapshot(number: WorkerListVersion, entries: readonly WorkerEntry[], asOf: number): ApplyResult {
    if (this.version && compareVersions(number, this.version) <= 0) return this.confirm(number, asOf);
    const fresh = new Map<string, Row>();
    this.put(fresh, entries, asOf);
    this.rows = fresh;
    return this.advance(number, asOf);
  }

  applyChange(number: WorkerListVersion, base: WorkerListVersion, change: WorkerListChange, asOf: number): ApplyResult {
    if (this.version && compareVersions(number, this.version) <= 0) return this.confirm(number, asOf);
    if (!this.version || compareVersions(base, this.version) !== 0) return 'gap';
    for (const id of change.gone) this.rows.delete(id);
    this.put(this.rows, change.changed, asOf);
    return this.advance(number, asOf);
  }

  confirm(number: WorkerListVersion, asOf: number): ApplyResult {
    const order = this.version ? compareVersions(number, this.version) : 1;
    if (order > 0) return 'gap';
    if (order < 0) return 'old';
    this.at = this.later(asOf);
    return 'taken';
  }

  differenceTo(entries: readonly WorkerEntry[], asOf: number): WorkerListChange {
    const changed: WorkerEntry[] = [];
    const gone: string[] = [];
    const ids = new Set<string>();
    for (const event of entries) {
      ids.add(event.id);
      const row = this.rows.get(event.id);
      if (!row || !sameEntry(agedEntry(row.entry, asOf - row.at), event)) changed.push(event);
    }
    for (const id of this.rows.keys()) if (!ids.has(id)) gone.push(id);
    return { changed, gone };
  }

  entries(): readonly WorkerEntry[] {
    if (this.at === null) return [];
    if (this.shown?.at === this.at) return this.shown.entries;
    const out: WorkerEntry[] = [];
    for (const row of this.rows.values()) out.push(agedEntry(row.entry, this.at - row.at));
    this.shown = { at: this.at, entries: out };
    return out;
  }

  number(): WorkerListVersion | null {
    return this.version;
  }

  asOf(): number | null {
    return this.at;
  }
}

/** An empty table. */
export function createWorkerListTable(): WorkerListTable {
  return new VersionedWorkerListTable();
}
