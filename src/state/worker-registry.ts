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
import type { BookSelf, PlaceAsk, PlacementCost } from './placement-cost.js';
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
export interface WorkerRegistry {
  takeList(list: readonly WorkerEntry[], now: number): void;
  takeZones(
    evacuated: Readonly<Record<string, number>>,
    preemptive: (model: string) => readonly string[],
    now: number,
    coldMs: (model: string) => number,
  ): void;
  place(ask: PlaceAsk): Placed;
  begin(row: BookRow, ask: PlaceAsk): Hold;
  failed(row: BookRow, now: number): void;
  spoilt(row: BookRow, now: number): void;
  silent(row: BookRow, now: number): void;
  reached(row: BookRow, now: number): void;
  served(row: BookRow, now: number): void;
  connectMs(row: BookRow): number;
  fewSharers(): boolean;
  full(row: BookRow, now: number, forMs: number): void;
  moved(row: BookRow): void;
  cold(row: BookRow, now: number, ms: number): void;
  rows(): Iterable<BookRow>;
  sharers(proxies: Readonly<Record<string, Sharer>>): void;
  usage(now: number): UsageRows;
  takeFleetLoad(rows: UsageRows, now: number): void;
  took(row: BookRow, ms: number): void;
}

const LEAST_SHARE = 2;

class CostedWorkerRegistry implements WorkerRegistry {
  private readonly currentRows = new Map<string, BookRow>();
  private byModel = new Map<string, BookRow[]>();
  private evacuated: Readonly<Record<string, number>> = {};
  private preemptiveOf: (model: string) => readonly string[] = none;
  private listed = false;
  private readonly owners = createWorkerOwners();
  private readonly placementCost: PlacementCost;

  constructor(
    private readonly self: BookSelf,
    private readonly tuning: EdgeTuning,
  ) {
    this.placementCost = createPlacementCost(self, tuning, (model, zone) => this.isPreemptive(model, zone));
  }

  private isPreemptive(model: string, zone: string): boolean {
    return this.preemptiveOf(model).includes(zone);
  }

  takeList(list: readonly WorkerEntry[], now: number): void {
    const seen = new Set<string>();
    for (const entry of list) {
      seen.add(entry.id);
      let row = this.currentRows.get(entry.id);
      if (!row) {
        row = freshRow(entry, this.tuning);
        this.currentRows.set(entry.id, row);
      }
      row.entry = entry;
      row.present = true;
      if (entry.leaving) row.leaving = true;
      if (entry.remainingMs !== null) row.leaveBy = Math.min(row.leaveBy ?? Infinity, now + entry.remainingMs);
      if (entry.coldMs > 0) row.coldUntil = Math.max(row.coldUntil, now + entry.coldMs + 200);
    }
    for (const [id, row] of this.currentRows) {
      if (seen.has(id)) continue;
      row.present = false;
      if (row.running === 0) this.currentRows.delete(id);
    }
    this.byModel = new Map();
    for (const row of this.currentRows.values()) {
      if (!row.present) continue;
      const of = this.byModel.get(row.entry.model);
      if (of) of.push(row);
      else this.byModel.set(row.entry.model, [row]);
    }
    this.listed = true;
  }

  takeZones(
    next: Readonly<Record<string, number>>,
    preemptive: (model: string) => readonly string[],
    now: number,
    coldMs: (model: string) => number,
  ): void {
    for (const zone of Object.keys(this.evacuated)) {
      if (next[zone] !== undefined) continue;
      for (const row of this.currentRows.values())
        if (row.entry.zone === zone) row.coldUntil = Math.max(row.coldUntil, now + coldMs(row.entry.model));
    }
    this.evacuated = { ...next };
    this.preemptiveOf = preemptive;
  }

  private usable(row: BookRow, ask: PlaceAsk): boolean {
    if (row.leaving || !row.present || this.evacuated[row.entry.zone] !== undefined) return false;
    if (ask.homes.length > 0 && !ask.homes.includes(row.entry.region)) return false;
    return !ask.avoid.has(row.entry.id);
  }

  private coldRoom(row: BookRow, ask: PlaceAsk): boolean {
    if (row.coldUntil <= ask.now || !ask.traits || ask.traits.coldRateS <= 0) return true;
    return row.cold.room(ask.now, this.coldShare(row, ask.traits));
  }

  private coldShare(row: BookRow, t: ModelTraits): number {
    const sharing = this.owners.sharing();
    const whole = Math.floor((t.coldRateS * this.tuning.coldOver + this.tuning.coldSlack) * this.tuning.coldGuard);
    if (whole >= LEAST_SHARE * sharing) return Math.max(1, Math.floor(whole / sharing));
    const names = this.owners.ownersOf(row, Math.max(1, Math.floor(whole / LEAST_SHARE)));
    return names.includes(this.self.name) ? Math.max(1, Math.floor(whole / names.length)) : 0;
  }

  private placesOf(row: BookRow, ask: PlaceAsk): number {
    const batch = row.entry.places > 0 ? row.entry.places : (ask.traits?.engine?.batch ?? 1);
    const connections =
      ask.traits && ask.traits.maxConns > 0
        ? Math.max(1, Math.floor((ask.traits.maxConns * this.tuning.connectionGuard) / this.owners.sharing()))
        : Infinity;
    return Math.min(batch, connections);
  }

  place(ask: PlaceAsk): Placed {
    const list = this.byModel.get(ask.model) ?? [];
    const home = ask.pinned ? this.homeOf(list, ask) : null;
    let found: BookRow | null = null;
    let least = Infinity;
    let any = false;
    for (const row of list) {
      if (!this.usable(row, ask)) continue;
      if (!row.unproven) any = true;
      if (row.unproven || row.badUntil > ask.now || row.fullUntil > ask.now) continue;
      if (row.fails > 0 && row.running > 0) continue;
      if (row.running >= this.placesOf(row, ask) || !this.coldRoom(row, ask)) continue;
      const ms = this.placementCost.cost(row, ask, home);
      if (ms < least) {
        least = ms;
        found = row;
      }
    }
    if (found) return { tag: 'row', row: found, waitMs: least };
    return any || !this.listed ? { tag: 'busy' } : { tag: 'none' };
  }

  private homeOf(list: readonly BookRow[], ask: PlaceAsk): BookRow | null {
    if (ask.parts.length < 2) return null;
    const open: BookRow[] = [];
    for (const row of list) if (this.usable(row, ask) && !row.unproven && row.badUntil <= ask.now) open.push(row);
    return homeAmong(open, ask.parts, this.tuning);
  }

  begin(row: BookRow, ask: PlaceAsk): Hold {
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

  failed(row: BookRow, now: number): void {
    row.fails += 1;
    row.badUntil = now + Math.min(4_000, 125 * 2 ** row.fails);
    row.kept.clear();
  }

  silent(row: BookRow, now: number): void {
    row.fails += 1;
    if (!row.unproven || row.unresponsiveSince === 0) row.unresponsiveSince = now;
    row.unproven = true;
    row.badUntil = now + Math.min(this.redialMs(row), 250 * 2 ** row.fails);
  }

  fewSharers(): boolean {
    return this.owners.sharing() <= this.tuning.redialers;
  }

  private redialMs(row: BookRow): number {
    if (this.fewSharers() || this.owners.ownersOf(row, this.tuning.redialers).includes(this.self.name))
      return this.tuning.redialMs;
    return (this.tuning.redialMs * this.owners.sharing()) / this.tuning.redialers;
  }

  reached(row: BookRow, now: number): void {
    if (row.unresponsiveSince > 0 && now - row.unresponsiveSince > this.tuning.doubtFromMs)
      row.doubtUntil = now + this.tuning.doubtForMs;
    row.unresponsiveSince = 0;
    row.unproven = false;
    row.badUntil = 0;
    row.fails = 0;
  }

  spoilt(row: BookRow, now: number): void {
    row.runs.note(now, true);
    this.failed(row, now);
  }

  served(row: BookRow, now: number): void {
    row.runs.note(now, false);
    row.fails = 0;
  }

  connectMs(row: BookRow): number {
    const way = row.entry.region === this.self.region ? 5 : this.placementCost.awayMs(row);
    return Math.min(this.tuning.connectMs, this.tuning.connectLeastMs + 3 * way);
  }

  full(row: BookRow, now: number, forMs: number): void {
    row.fullUntil = Math.max(row.fullUntil, now + forMs);
  }

  moved(row: BookRow): void {
    row.leaving = true;
  }

  cold(row: BookRow, now: number, ms: number): void {
    row.coldUntil = Math.max(row.coldUntil, now + ms);
  }

  usage(now: number): UsageRows {
    const out: UsageRows = {};
    for (const row of this.currentRows.values()) {
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

  takeFleetLoad(sums: UsageRows, now: number): void {
    for (const row of this.currentRows.values()) {
      const sum = sums[row.entry.id];
      const before = row.others;
      row.others = sum ? beyond(sum, row.told) : NO_USAGE;
      if (row.unproven && row.others.ran > before.ran && row.others.bad <= before.bad)
        row.badUntil = Math.min(row.badUntil, now);
    }
  }

  rows(): Iterable<BookRow> {
    return this.currentRows.values();
  }

  sharers(known: Readonly<Record<string, Sharer>>): void {
    this.owners.sharers(known);
  }

  took(row: BookRow, ms: number): void {
    this.placementCost.took(row, ms);
  }
}

/** An empty registry; nothing is `none` before the first list was taken. */
export function createWorkerRegistry(self: BookSelf, tuning: EdgeTuning): WorkerRegistry {
  return new CostedWorkerRegistry(self, tuning);
}

function rounded(n: number, step: number): number {
  return Math.round(n / step) * step;
}
function none(): readonly string[] {
  return [];
}
