import { hash32 } from '../base/digest.js';
import type { EdgeTuning } from './edge-tuning.js';
import { createKeptParts } from './kept-parts.js';
import type { KeptParts, Part } from './kept-parts.js';
import { createRateGuard } from './rate-guard.js';
import type { RateGuard } from './rate-guard.js';
import type { ModelTraits } from './serving.js';
import type { WorkerEntry } from './worker-entry.js';

export type BookRow = {
  entry: WorkerEntry;
  present: boolean;
  leaving: boolean;
  leaveBy: number | null;
  coldUntil: number;
  cold: RateGuard;
  running: number;
  unread: number;
  kv: number;
  fails: number;
  badUntil: number;
  fullUntil: number;
  kept: KeptParts;
};

export type PlaceAsk = {
  readonly model: string;
  readonly traits: ModelTraits | null;
  readonly parts: readonly Part[];
  readonly tokens: number;
  readonly outTokens: number;
  readonly bytes: number;
  readonly homes: readonly string[];
  readonly pinned: boolean;
  readonly avoid: ReadonlySet<string>;
  readonly now: number;
};

export type Placed =
  | { readonly tag: 'row'; readonly row: BookRow; readonly waitMs: number }
  | { readonly tag: 'busy' }
  | { readonly tag: 'none' };

export type Hold = { readonly read: () => void; readonly end: () => void };

export type WorkerBook = {
  readonly takeList: (list: readonly WorkerEntry[], now: number) => void;
  readonly takeZones: (evacuated: Readonly<Record<string, number>>, preemptive: (model: string) => readonly string[], now: number, coldMs: (model: string) => number) => void;
  readonly place: (ask: PlaceAsk) => Placed;
  readonly begin: (row: BookRow, ask: PlaceAsk) => Hold;
  readonly failed: (row: BookRow, now: number) => void;
  readonly served: (row: BookRow) => void;
  readonly full: (row: BookRow, now: number, forMs: number) => void;
  readonly moved: (row: BookRow) => void;
  readonly cold: (row: BookRow, now: number, ms: number) => void;
  readonly rows: () => Iterable<BookRow>;
  readonly sharers: (n: number) => void;
};

export type BookSelf = { readonly zone: string; readonly region: string };

const COLD_WINDOW_MS = 1_150;

export function createWorkerBook(self: BookSelf, tuning: EdgeTuning): WorkerBook {
  const rows = new Map<string, BookRow>();
  let byModel = new Map<string, BookRow[]>();
  let evacuated: Readonly<Record<string, number>> = {};
  let preemptiveOf: (model: string) => readonly string[] = none;
  let sharing = 1;
  let listed = false;

  function freshRow(entry: WorkerEntry): BookRow {
    return {
      entry, present: true, leaving: entry.leaving, leaveBy: null, coldUntil: 0, cold: createRateGuard(COLD_WINDOW_MS),
      running: 0, unread: 0, kv: 0, fails: 0, badUntil: 0, fullUntil: 0, kept: createKeptParts(tuning.knownTokens),
    };
  }

  function takeList(list: readonly WorkerEntry[], now: number): void {
    const seen = new Set<string>();
    for (const entry of list) {
      seen.add(entry.id);
      let row = rows.get(entry.id);
      if (!row) {
        row = freshRow(entry);
        rows.set(entry.id, row);
      }
      row.entry = entry;
      row.present = true;
      if (entry.leaving) row.leaving = true;
      if (entry.remainingMs !== null) row.leaveBy = Math.min(row.leaveBy ?? Infinity, now + entry.remainingMs);
      if (entry.coldMs > 0) row.coldUntil = Math.max(row.coldUntil, now + entry.coldMs + 200);
    }
    for (const [id, row] of rows) {
      if (seen.has(id)) continue;
      row.present = false;
      if (row.running === 0) rows.delete(id);
    }
    byModel = new Map();
    for (const row of rows.values()) {
      if (!row.present) continue;
      const of = byModel.get(row.entry.model);
      if (of) of.push(row);
      else byModel.set(row.entry.model, [row]);
    }
    listed = true;
  }

  function takeZones(next: Readonly<Record<string, number>>, preemptive: (model: string) => readonly string[], now: number, coldMs: (model: string) => number): void {
    for (const zone of Object.keys(evacuated)) {
      if (next[zone] !== undefined) continue;
      for (const row of rows.values()) if (row.entry.zone === zone) row.coldUntil = Math.max(row.coldUntil, now + coldMs(row.entry.model));
    }
    evacuated = { ...next };
    preemptiveOf = preemptive;
  }

  function usable(row: BookRow, ask: PlaceAsk): boolean {
    if (row.leaving || !row.present || evacuated[row.entry.zone] !== undefined) return false;
    if (ask.homes.length > 0 && !ask.homes.includes(row.entry.region)) return false;
    return !ask.avoid.has(row.entry.id);
  }

  function coldRoom(row: BookRow, ask: PlaceAsk): boolean {
    if (row.coldUntil <= ask.now || !ask.traits || ask.traits.coldRateS <= 0) return true;
    return row.cold.room(ask.now, coldShare(ask.traits));
  }
  function coldShare(t: ModelTraits): number {
    return Math.max(1, Math.floor((t.coldRateS * tuning.coldOver + tuning.coldSlack) * tuning.coldGuard / sharing));
  }

  function placesOf(row: BookRow, ask: PlaceAsk): number {
    const batch = row.entry.places > 0 ? row.entry.places : (ask.traits?.engine?.batch ?? 1);
    const conns = ask.traits && ask.traits.maxConns > 0 ? Math.max(1, Math.floor((ask.traits.maxConns * tuning.connGuard) / sharing)) : Infinity;
    return Math.min(batch, conns);
  }

  function cost(row: BookRow, ask: PlaceAsk, best: BookRow | null): number {
    const known = ask.pinned ? Math.max(row.kept.known(ask.parts), row === best ? sharedTokens(ask.parts) : 0) : 0;
    const unread = Math.max(0, ask.tokens - known);
    let ms = (unread + row.unread) / tuning.tokensPerMs;
    const places = placesOf(row, ask);
    ms += (row.running / places) * (ask.tokens > 0 ? 40 : 120);
    if (row.entry.region !== self.region) ms += tuning.farMs + tuning.crossRegionMs;
    else if (row.entry.zone !== self.zone) ms += tuning.crossZoneMs;
    if (row.coldUntil > ask.now) ms += 60;
    if (preemptiveOf(ask.model).includes(row.entry.zone)) ms += tuning.preemptiveMs;
    ms += row.fails * 50;
    return ms;
  }

  function place(ask: PlaceAsk): Placed {
    const list = byModel.get(ask.model) ?? [];
    const key = ask.parts.length > 1 ? (ask.parts[ask.parts.length - 2] as Part).id : '';
    const best = key === '' ? null : rendezvous(list, ask, key);
    let found: BookRow | null = null;
    let least = Infinity;
    let any = false;
    for (const row of list) {
      if (!usable(row, ask)) continue;
      any = true;
      if (row.badUntil > ask.now || row.fullUntil > ask.now) continue;
      if (row.fails > 0 && row.running > 0) continue;
      if (row.running >= placesOf(row, ask) || !coldRoom(row, ask)) continue;
      const ms = cost(row, ask, best);
      if (ms < least) {
        least = ms;
        found = row;
      }
    }
    if (found) return { tag: 'row', row: found, waitMs: least };
    return any || !listed ? { tag: 'busy' } : { tag: 'none' };
  }

  function rendezvous(list: readonly BookRow[], ask: PlaceAsk, key: string): BookRow | null {
    let top: BookRow | null = null;
    let high = -1;
    for (const row of list) {
      if (!usable(row, ask) || row.entry.region !== self.region || row.badUntil > ask.now) continue;
      const h = hash32(`${key}|${row.entry.id}`);
      if (h > high) {
        high = h;
        top = row;
      }
    }
    return top;
  }

  function begin(row: BookRow, ask: PlaceAsk): Hold {
    const known = ask.pinned ? row.kept.known(ask.parts) : 0;
    const unread = Math.max(0, ask.tokens - known);
    const kv = ask.tokens + ask.outTokens;
    row.running += 1;
    row.unread += unread;
    row.kv += kv;
    if (row.coldUntil > ask.now) row.cold.take(ask.now);
    if (ask.pinned) row.kept.note(ask.parts);
    let reading = true;
    let over = false;
    function read(): void {
      if (reading) row.unread -= unread;
      reading = false;
    }
    function end(): void {
      read();
      if (over) return;
      over = true;
      row.running -= 1;
      row.kv -= kv;
    }
    return { read, end };
  }

  function failed(row: BookRow, now: number): void {
    row.fails += 1;
    row.badUntil = now + Math.min(4_000, 125 * 2 ** row.fails);
    row.kept.clear();
  }
  function served(row: BookRow): void {
    row.fails = 0;
  }
  function full(row: BookRow, now: number, forMs: number): void {
    row.fullUntil = Math.max(row.fullUntil, now + forMs);
  }
  function moved(row: BookRow): void {
    row.leaving = true;
  }
  function cold(row: BookRow, now: number, ms: number): void {
    row.coldUntil = Math.max(row.coldUntil, now + ms);
  }
  function all(): Iterable<BookRow> {
    return rows.values();
  }
  function sharers(n: number): void {
    sharing = Math.max(1, n);
  }
  return { takeList, takeZones, place, begin, failed, served, full, moved, cold, rows: all, sharers };
}

function sharedTokens(parts: readonly Part[]): number {
  let n = 0;
  for (let i = 0; i < parts.length - 1; i += 1) n += (parts[i] as Part).tokens;
  return n;
}
function none(): readonly string[] {
  return [];
}
