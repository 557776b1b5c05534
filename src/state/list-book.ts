import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import type { WorkerEntry } from './worker-entry.js';

export const ListNumberShape = Type.Tuple([
  Type.Integer({ minimum: 0 }),
  Type.String({ minLength: 1, maxLength: 256 }),
  Type.Integer({ minimum: 0 }),
]);
export type ListNumber = Static<typeof ListNumberShape>;

export type ListChange = { readonly told: readonly WorkerEntry[]; readonly gone: readonly string[] };

export type Taken = 'taken' | 'old' | 'gap';

export type ListBook = {
  readonly number: () => ListNumber | null;
  readonly asOf: () => number | null;
  readonly entries: () => readonly WorkerEntry[];
  readonly takeWhole: (number: ListNumber, entries: readonly WorkerEntry[], asOf: number) => Taken;
  readonly takeChange: (number: ListNumber, base: ListNumber, change: ListChange, asOf: number) => Taken;
  readonly confirm: (number: ListNumber, asOf: number) => Taken;
  readonly differenceTo: (entries: readonly WorkerEntry[], asOf: number) => ListChange;
};

type Row = { readonly entry: WorkerEntry; readonly at: number };

const DRIFT_MS = 250;

export function compareNumbers(a: ListNumber, b: ListNumber): number {
  if (a[0] !== b[0]) return a[0] - b[0];
  if (a[1] !== b[1]) return a[1] < b[1] ? -1 : 1;
  return a[2] - b[2];
}

export function isEmptyChange(c: ListChange): boolean {
  return c.told.length === 0 && c.gone.length === 0;
}

export function agedEntry(e: WorkerEntry, ms: number): WorkerEntry {
  if (ms <= 0 || (e.remainingMs === null && e.coldMs === 0)) return e;
  return {
    ...e,
    remainingMs: e.remainingMs === null ? null : Math.max(0, e.remainingMs - ms),
    coldMs: Math.max(0, e.coldMs - ms),
  };
}

function sameEntry(a: WorkerEntry, b: WorkerEntry): boolean {
  if (Math.abs(a.coldMs - b.coldMs) > DRIFT_MS || (a.remainingMs === null) !== (b.remainingMs === null)) return false;
  if (Math.abs((a.remainingMs ?? 0) - (b.remainingMs ?? 0)) > DRIFT_MS) return false;
  return JSON.stringify({ ...a, remainingMs: 0, coldMs: 0 }) === JSON.stringify({ ...b, remainingMs: 0, coldMs: 0 });
}

export function createListBook(): ListBook {
  let rows = new Map<string, Row>();
  let held: ListNumber | null = null;
  let at: number | null = null;
  let shown: { readonly at: number; readonly entries: readonly WorkerEntry[] } | null = null;

  function later(asOf: number): number {
    return at === null ? asOf : Math.max(at, asOf);
  }
  function put(into: Map<string, Row>, entries: readonly WorkerEntry[], asOf: number): void {
    const older = at !== null && asOf < at;
    for (const entry of entries) {
      const before = rows.get(entry.id);
      into.set(entry.id, older && before?.entry.leaving ? before : { entry, at: asOf });
    }
  }
  function moved(number: ListNumber, asOf: number): Taken {
    held = number;
    at = later(asOf);
    shown = null;
    return 'taken';
  }

  function takeWhole(number: ListNumber, entries: readonly WorkerEntry[], asOf: number): Taken {
    if (held && compareNumbers(number, held) <= 0) return confirm(number, asOf);
    const fresh = new Map<string, Row>();
    put(fresh, entries, asOf);
    rows = fresh;
    return moved(number, asOf);
  }
  function takeChange(number: ListNumber, base: ListNumber, change: ListChange, asOf: number): Taken {
    if (held && compareNumbers(number, held) <= 0) return confirm(number, asOf);
    if (!held || compareNumbers(base, held) !== 0) return 'gap';
    for (const id of change.gone) rows.delete(id);
    put(rows, change.told, asOf);
    return moved(number, asOf);
  }
  function confirm(number: ListNumber, asOf: number): Taken {
    const order = held ? compareNumbers(number, held) : 1;
    if (order > 0) return 'gap';
    if (order < 0) return 'old';
    at = later(asOf);
    return 'taken';
  }

  function differenceTo(entries: readonly WorkerEntry[], asOf: number): ListChange {
    const told: WorkerEntry[] = [];
    const gone: string[] = [];
    const ids = new Set<string>();
    for (const e of entries) {
      ids.add(e.id);
      const row = rows.get(e.id);
      if (!row || !sameEntry(agedEntry(row.entry, asOf - row.at), e)) told.push(e);
    }
    for (const id of rows.keys()) if (!ids.has(id)) gone.push(id);
    return { told, gone };
  }

  function entries(): readonly WorkerEntry[] {
    if (at === null) return [];
    if (shown?.at === at) return shown.entries;
    const out: WorkerEntry[] = [];
    for (const row of rows.values()) out.push(agedEntry(row.entry, at - row.at));
    shown = { at, entries: out };
    return out;
  }
  function number(): ListNumber | null {
    return held;
  }
  function asOf(): number | null {
    return at;
  }
  return { number, asOf, entries, takeWhole, takeChange, confirm, differenceTo };
}
