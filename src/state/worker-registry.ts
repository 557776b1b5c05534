import { hash32 } from '../base/digest.js';
import type { EdgeTuning } from './edge-tuning.js';
import { createPrefixCache } from './prefix-cache.js';
import type { PrefixCache, Part } from './prefix-cache.js';
import { createRateGuard } from './rate-guard.js';
import type { RateGuard } from './rate-guard.js';
import { createRunCounts } from './run-counts.js';
import type { RunCounts } from './run-counts.js';
import type { UsageRows } from './fleet-load.js';
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
  others: Usage;
  told: Usage;
  fails: number;
  badUntil: number;
  unproven: boolean;
  silentSince: number;
  doubtUntil: number;
  fullUntil: number;
  kept: PrefixCache;
  runs: RunCounts;
  owners: {
    readonly of: Readonly<Record<string, Sharer>>;
    readonly most: number;
    readonly names: readonly string[];
  } | null;
};

export type Usage = {
  readonly running: number;
  readonly unread: number;
  readonly kv: number;
  readonly bad: number;
  readonly ran: number;
};
const NO_USAGE: Usage = { running: 0, unread: 0, kv: 0, bad: 0, ran: 0 };

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

export type Sharer = { readonly region: string };

export type BookSelf = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly held: (address: string) => number;
};

const COLD_WINDOW_MS = 1_150;
const LEAST_SHARE = 2;

export function createWorkerRegistry(self: BookSelf, tuning: EdgeTuning): WorkerRegistry {
  const rows = new Map<string, BookRow>();
  let byModel = new Map<string, BookRow[]>();
  let evacuated: Readonly<Record<string, number>> = {};
  let preemptiveOf: (model: string) => readonly string[] = none;
  const away = new Map<string, number>();
  let sharing = 1;
  let proxies: Readonly<Record<string, Sharer>> = {};
  let listed = false;

  function freshRow(entry: WorkerEntry): BookRow {
    return {
      entry,
      present: true,
      leaving: entry.leaving,
      leaveBy: null,
      coldUntil: 0,
      cold: createRateGuard(COLD_WINDOW_MS),
      running: 0,
      unread: 0,
      kv: 0,
      others: NO_USAGE,
      told: NO_USAGE,
      fails: 0,
      badUntil: 0,
      unproven: false,
      silentSince: 0,
      doubtUntil: 0,
      fullUntil: 0,
      kept: createPrefixCache(tuning.knownTokens),
      runs: createRunCounts(tuning.runsMs),
      owners: null,
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
    const whole = Math.floor((t.coldRateS * tuning.coldOver + tuning.coldSlack) * tuning.coldGuard);
    if (whole >= LEAST_SHARE * sharing) return Math.max(1, Math.floor(whole / sharing));
    const owners = ownersOf(row, Math.max(1, Math.floor(whole / LEAST_SHARE)));
    return owners.includes(self.name) ? Math.max(1, Math.floor(whole / owners.length)) : 0;
  }
  function ownersOf(row: BookRow, most: number): readonly string[] {
    if (row.owners && row.owners.of === proxies && row.owners.most === most) return row.owners.names;
    const ranks: { readonly name: string; readonly near: boolean; readonly hash: number }[] = [];
    for (const [name, s] of Object.entries(proxies))
      ranks.push({ name, near: s.region === row.entry.region, hash: hash32(`${row.entry.id}|${name}`) });
    ranks.sort(nearFirst);
    const names: string[] = [];
    for (const r of ranks.slice(0, most)) names.push(r.name);
    row.owners = { of: proxies, most, names };
    return names;
  }
  function nearFirst(
    a: { readonly near: boolean; readonly hash: number },
    b: { readonly near: boolean; readonly hash: number },
  ): number {
    return Number(b.near) - Number(a.near) || b.hash - a.hash;
  }

  function placesOf(row: BookRow, ask: PlaceAsk): number {
    const batch = row.entry.places > 0 ? row.entry.places : (ask.traits?.engine?.batch ?? 1);
    const connections =
      ask.traits && ask.traits.maxConns > 0
        ? Math.max(1, Math.floor((ask.traits.maxConns * tuning.connectionGuard) / sharing))
        : Infinity;
    return Math.min(batch, connections);
  }

  function cost(row: BookRow, ask: PlaceAsk, home: BookRow | null): number {
    const known = ask.pinned ? Math.max(row.kept.known(ask.parts), row === home ? sharedTokens(ask.parts) : 0) : 0;
    const unread = Math.max(0, ask.tokens - known);
    const running = row.running + row.others.running;
    const backlog = row.unread + row.others.unread;
    let ms = (unread + backlog) / tuning.tokensPerMs;
    if (ask.tokens > 0) {
      ms += Math.max(0, sharedTokens(ask.parts) - known) * tuning.sharedMs;
      if (unread + backlog > tuning.stallTokens) ms += running * tuning.stallMs;
      const kvTokens = ask.traits?.engine?.kvTokens ?? 0;
      const kv = row.kv + row.others.kv + ask.tokens + ask.outTokens;
      if (kvTokens > 0 && kv > kvTokens * tuning.kvShare) ms += tuning.kvMs * (kv / kvTokens);
    }
    const over = running + 1 - row.entry.places;
    if (row.entry.places > 0 && over > 0) ms += tuning.overMs * (1 + over);
    else ms += (running / Math.max(1, row.entry.places)) ** 2 * tuning.crowdedMs;
    if (row.entry.region !== self.region)
      ms += awayMs(row) + (ask.bytes + ask.outTokens * tuning.bytesPerToken) / tuning.bytesPerMs;
    else if (row.entry.zone !== self.zone) ms += tuning.crossZoneMs;
    if (self.held(row.entry.address) === 0) ms += tuning.dialMs;
    if (row.coldUntil > ask.now) ms += tuning.coldMs;
    if (row.doubtUntil > ask.now) ms += tuning.doubtMs;
    if (preemptiveOf(ask.model).includes(row.entry.zone)) ms += tuning.preemptiveMs;
    return ms + row.fails * tuning.failMs + spoilShare(row, ask.now) * tuning.spoiltMs;
  }

  function awayMs(row: BookRow): number {
    return away.get(row.entry.region) ?? tuning.farMs;
  }
  function took(row: BookRow, ms: number): void {
    const { region } = row.entry;
    const had = away.get(region);
    away.set(region, had === undefined ? ms : Math.min(had * 1.02, ms));
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
    const shared = ask.parts.length - 1;
    if (shared < 1) return null;
    const open: BookRow[] = [];
    for (const row of list) if (usable(row, ask) && !row.unproven && row.badUntil <= ask.now) open.push(row);
    const first = ask.parts[0] as Part;
    if (shared === 1) return highest(open, first.id);
    const few = Math.max(tuning.spreadLeast, Math.ceil(open.length * tuning.spreadShare));
    const group = open.length <= few ? open : ranked(open, first.id).slice(0, few);
    return highest(group, (ask.parts[shared - 1] as Part).id);
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
    return sharing <= tuning.redialers;
  }
  function redialMs(row: BookRow): number {
    if (fewSharers() || ownersOf(row, tuning.redialers).includes(self.name)) return tuning.redialMs;
    return (tuning.redialMs * sharing) / tuning.redialers;
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
  function spoilShare(row: BookRow, now: number): number {
    const bad = row.runs.bad(now) + row.others.bad;
    const ran = row.runs.ran(now) + row.others.ran;
    return bad < tuning.spoiltLeast ? 0 : bad / Math.max(1, ran);
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
  function sharers(known: Readonly<Record<string, Sharer>>): void {
    proxies = { ...known };
    sharing = Math.max(1, Object.keys(known).length);
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
    sharers,
    took,
    usage,
    takeFleetLoad,
  };
}

type Ranked = { readonly hash: number; readonly row: BookRow };

function byHash(a: Ranked, b: Ranked): number {
  return b.hash - a.hash;
}
function ranked(rows: readonly BookRow[], key: string): BookRow[] {
  const all: Ranked[] = [];
  for (const row of rows) all.push({ hash: hash32(`${key}|${row.entry.id}`), row });
  return all.sort(byHash).map(rowOf);
}
function rowOf(r: Ranked): BookRow {
  return r.row;
}
function highest(rows: readonly BookRow[], key: string): BookRow | null {
  let top: BookRow | null = null;
  let high = -1;
  for (const row of rows) {
    const h = hash32(`${key}|${row.entry.id}`);
    if (h <= high) continue;
    high = h;
    top = row;
  }
  return top;
}

function sharedTokens(parts: readonly Part[]): number {
  let n = 0;
  for (let i = 0; i < parts.length - 1; i += 1) n += (parts[i] as Part).tokens;
  return n;
}
function beyond(sum: UsageRows[string], told: Usage): Usage {
  return {
    running: Math.max(0, sum[0] - told.running),
    unread: Math.max(0, sum[1] - told.unread),
    kv: Math.max(0, sum[2] - told.kv),
    bad: Math.max(0, sum[3] - told.bad),
    ran: Math.max(0, sum[4] - told.ran),
  };
}
function rounded(n: number, step: number): number {
  return Math.round(n / step) * step;
}
function none(): readonly string[] {
  return [];
}
