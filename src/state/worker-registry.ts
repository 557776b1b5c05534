/**
 * The workers as the opaque proxy knows them, and the choice among them. Fed by the list, by
 * evacuations, by what other proxies run and by what became of each attempt; asked by the
 * queue for the cheapest worker that may take a request now. Pure: time is given in, and nothing
 * is sent.
 */

import type { EdgeTuning } from './edge-tuning.js';
import type { UsageRows } from './fleet-load.js';
import { homeAmong } from './home-worker.js';
import { createPlacementCost } from './placement-cost.js';
import type { BookSelf, PlaceAsk } from './placement-cost.js';
import { beyond, freshRow, NO_USAGE } from './registry-row.js';
import type { BookRow, Sharer } from './registry-row.js';
import type { ModelTraits } from './serving.js';
import type { WorkerEntry } from './worker-entry.js';
import { createWorkerOwners } from './worker-owners.js';

export type { BookSelf, PlaceAsk } from './placement-cost.js';
export type { BookRow, Sharer, Usage } from './registry-row.js';

/** The choice: a worker and its cost, `busy` if one may have room later, `none` if the model has no usable worker. */
export type Placed =
  | { readonly tag: 'row'; readonly row: BookRow; readonly waitMs: number }
  | { readonly tag: 'busy' }
  | { readonly tag: 'none' };

/** A place held on a worker: `read` once the prompt was read, `end` at the end of the attempt. */
export type Hold = { readonly read: () => void; readonly end: () => void };

/** The registry of one proxy. */
export type WorkerRegistry = {
  readonly takeList: (list: readonly WorkerEntry[], now: number) => void;
  readonly takeZones: (
    evacuated: Readonly<Record<string, number>>,
    preemptive: (model: string) => readonly string[],
    now: number,
    coldMs: (model: string) => number,
  ) => void;
  readonly place: (ask: PlaceAsk) => Placed;
  readonly begin: (row: BookRow, ask: PlaceAsk) => Hold;
  readonly failed: (row: BookRow, now: number) => void;
  readonly spoilt: (row: BookRow, now: number) => void;
  readonly silent: (row: BookRow, now: number) => void;
  readonly reached: (row: BookRow, now: number) => void;
  readonly served: (row: BookRow, now: number) => void;
  readonly connectMs: (row: BookRow) => number;
  readonly fewSharers: () => boolean;
  readonly full: (row: BookRow, now: number, forMs: number) => void;
  readonly moved: (row: BookRow) => void;
  readonly cold: (row: BookRow, now: number, ms: number) => void;
  readonly rows: () => Iterable<BookRow>;
  readonly sharers: (proxies: Readonly<Record<string, Sharer>>) => void;
  readonly usage: (now: number) => UsageRows;
  readonly takeFleetLoad: (rows: UsageRows, now: number) => void;
  readonly took: (row: BookRow, ms: number) => void;
};

const LEAST_SHARE = 2;

/** An empty registry; nothing is `none` before the first list was taken. */
export function createWorkerRegistry(self: BookSelf, tuning: EdgeTuning): WorkerRegistry {
  const rows = new Map<string, BookRow>();
  let byModel = new Map<string, BookRow[]>();
  let evacuated: Readonly<Record<string, number>> = {};
  let preemptiveOf: (model: string) => readonly string[] = none;
  let listed = false;
  const owners = createWorkerOwners();
  const { cost, awayMs, took } = createPlacementCost(self, tuning, isPreemptive);

  function isPreemptive(model: string, zone: string): boolean {
    return preemptiveOf(model).includes(zone);
  }

  function takeList(list: readonly WorkerEntry[], now: number): void {
    const seen = new Set<string>();
    for (const entry of list) {
      seen.add(entry.id);
      let row = rows.get(entry.id);
      if (!row) {
        row = freshRow(entry, tuning);
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

  function takeZones(
    next: Readonly<Record<string, number>>,
    preemptive: (model: string) => readonly string[],
    now: number,
    coldMs: (model: string) => number,
  ): void {
    for (const zone of Object.keys(evacuated)) {
      if (next[zone] !== undefined) continue;
      for (const row of rows.values())
        if (row.entry.zone === zone) row.coldUntil = Math.max(row.coldUntil, now + coldMs(row.entry.model));
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
    return row.cold.room(ask.now, coldShare(row, ask.traits));
  }
  function coldShare(row: BookRow, t: ModelTraits): number {
    const sharing = owners.sharing();
    const whole = Math.floor((t.coldRateS * tuning.coldOver + tuning.coldSlack) * tuning.coldGuard);
    if (whole >= LEAST_SHARE * sharing) return Math.max(1, Math.floor(whole / sharing));
    const names = owners.ownersOf(row, Math.max(1, Math.floor(whole / LEAST_SHARE)));
    return names.includes(self.name) ? Math.max(1, Math.floor(whole / names.length)) : 0;
  }
  function placesOf(row: BookRow, ask: PlaceAsk): number {
    const batch = row.entry.places > 0 ? row.entry.places : (ask.traits?.engine?.batch ?? 1);
    const connections =
      ask.traits && ask.traits.maxConns > 0
        ? Math.max(1, Math.floor((ask.traits.maxConns * tuning.connectionGuard) / owners.sharing()))
        : Infinity;
    return Math.min(batch, connections);
  }

  function place(ask: PlaceAsk): Placed {
    const list = byModel.get(ask.model) ?? [];
    const home = ask.pinned ? homeOf(list, ask) : null;
    let found: BookRow | null = null;
    let least = Infinity;
    let any = false;
    for (const row of list) {
      if (!usable(row, ask)) continue;
      if (!row.unproven) any = true;
      if (row.unproven || row.badUntil > ask.now || row.fullUntil > ask.now) continue;
      if (row.fails > 0 && row.running > 0) continue;
      if (row.running >= placesOf(row, ask) || !coldRoom(row, ask)) continue;
      const ms = cost(row, ask, home);
      if (ms < least) {
        least = ms;
        found = row;
      }
    }
    if (found) return { tag: 'row', row: found, waitMs: least };
    return any || !listed ? { tag: 'busy' } : { tag: 'none' };
  }

  function homeOf(list: readonly BookRow[], ask: PlaceAsk): BookRow | null {
    if (ask.parts.length < 2) return null;
    const open: BookRow[] = [];
    for (const row of list) if (usable(row, ask) && !row.unproven && row.badUntil <= ask.now) open.push(row);
    return homeAmong(open, ask.parts, tuning);
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
  function silent(row: BookRow, now: number): void {
    row.fails += 1;
    if (!row.unproven || row.silentSince === 0) row.silentSince = now;
    row.unproven = true;
    row.badUntil = now + Math.min(redialMs(row), 250 * 2 ** row.fails);
  }
  function fewSharers(): boolean {
    return owners.sharing() <= tuning.redialers;
  }
  function redialMs(row: BookRow): number {
    if (fewSharers() || owners.ownersOf(row, tuning.redialers).includes(self.name)) return tuning.redialMs;
    return (tuning.redialMs * owners.sharing()) / tuning.redialers;
  }
  function reached(row: BookRow, now: number): void {
    if (row.silentSince > 0 && now - row.silentSince > tuning.doubtFromMs) row.doubtUntil = now + tuning.doubtForMs;
    row.silentSince = 0;
    row.unproven = false;
    row.badUntil = 0;
    row.fails = 0;
  }
  function spoilt(row: BookRow, now: number): void {
    row.runs.note(now, true);
    failed(row, now);
  }
  function served(row: BookRow, now: number): void {
    row.runs.note(now, false);
    row.fails = 0;
  }
  function connectMs(row: BookRow): number {
    const way = row.entry.region === self.region ? 5 : awayMs(row);
    return Math.min(tuning.connectMs, tuning.connectLeastMs + 3 * way);
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
  function usage(now: number): UsageRows {
    const out: UsageRows = {};
    for (const row of rows.values()) {
      row.told = {
        running: row.running,
        unread: rounded(row.unread, 100),
        kv: rounded(row.kv, 1_000),
        bad: row.runs.bad(now),
        ran: row.runs.ran(now),
      };
      const { running, unread, kv, bad, ran } = row.told;
      if (running > 0 || bad > 0) out[row.entry.id] = [running, unread, kv, bad, ran];
    }
    return out;
  }
  function takeFleetLoad(sums: UsageRows, now: number): void {
    for (const row of rows.values()) {
      const sum = sums[row.entry.id];
      const before = row.others;
      row.others = sum ? beyond(sum, row.told) : NO_USAGE;
      if (row.unproven && row.others.ran > before.ran && row.others.bad <= before.bad)
        row.badUntil = Math.min(row.badUntil, now);
    }
  }
  function all(): Iterable<BookRow> {
    return rows.values();
  }
  return {
    takeList,
    takeZones,
    place,
    begin,
    failed,
    spoilt,
    silent,
    reached,
    served,
    connectMs,
    fewSharers,
    full,
    moved,
    cold,
    rows: all,
    sharers: owners.sharers,
    took,
    usage,
    takeFleetLoad,
  };
}

function rounded(n: number, step: number): number {
  return Math.round(n / step) * step;
}
function none(): readonly string[] {
  return [];
}
