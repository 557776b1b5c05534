/**
 * The workers as the opaque proxy knows them, and the choice among them. Fed by the list, by
 * evacuations, by what other proxies run and by what became of each attempt; asked by the
 * queue for the cheapest worker that may take a request now. Pure: time is given in, and nothing
 * is sent.
 */

import type { EdgeTuning } from '../forwarding/edge-tuning.js';
import type { LoadRows } from '../distribution/load-rows.js';
import { homeAmong } from './home-worker.js';
import { createPlacementCost } from '../forwarding/placement-cost.js';
import type { SelectingProxy, SelectionRequest, PlacementCost } from '../forwarding/placement-cost.js';
import { beyond, freshRow, NO_LOAD } from './registry-row.js';
import type { RegistryRow, SharingProxy } from './registry-row.js';
import type { ModelTraits } from '../configuration/serving.js';
import type { WorkerEntry } from './worker-entry.js';
import { createWorkerOwners } from './worker-owners.js';

export type { SelectingProxy, SelectionRequest } from '../forwarding/placement-cost.js';
export type { RegistryRow, SharingProxy } from './registry-row.js';

/** The choice: a worker and its cost, `busy` if one may have room later, `none` if the model has no usable worker. */
export type Selection =
  | { readonly tag: 'row'; readonly row: RegistryRow; readonly waitMs: number }
  | { readonly tag: 'busy' }
  | { readonly tag: 'none' };

/** A place held on a worker: `read` once the prompt was read, `end` at the end of the attempt. */
export type Reservation = { readonly read: () => void; readonly end: () => void };

/** The registry of one proxy. */
export interface WorkerRegistry {
  applyList(list: readonly WorkerEntry[], now: number): void;
  applyZones(
    evacuated: Readonly<Record<string, number>>,
    preemptive: (model: string) => readonly string[],
    now: number,
    coldMs: (model: string) => number,
  ): void;
  selectWorker(request: SelectionRequest): Selection;
  reserve(row: RegistryRow, request: SelectionRequest): Reservation;
  recordFailure(row: RegistryRow, now: number): void;
  recordSpoiled(row: RegistryRow, now: number): void;
  markUnresponsive(row: RegistryRow, now: number): void;
  markReachable(row: RegistryRow, now: number): void;
  recordServed(row: RegistryRow, now: number): void;
  connectMs(row: RegistryRow): number;
  hasFewSharingProxies(): boolean;
  markFull(row: RegistryRow, now: number, forMs: number): void;
  markRelocated(row: RegistryRow): void;
  markCold(row: RegistryRow, now: number, ms: number): void;
  rows(): Iterable<RegistryRow>;
  setSharingProxies(proxies: Readonly<Record<string, SharingProxy>>): void;
  load(now: number): LoadRows;
  applyFleetLoad(rows: LoadRows, now: number): void;
  recordConnectTime(row: RegistryRow, ms: number): void;
}

const LEAST_SHARE = 2;

class CostedWorkerRegistry implements WorkerRegistry {
  private readonly currentRows = new Map<string, RegistryRow>();
  private byModel = new Map<string, RegistryRow[]>();
  private evacuated: Readonly<Record<string, number>> = {};
  private preemptiveOf: (model: string) => readonly string[] = none;
  private listed = false;
  private readonly owners = createWorkerOwners();
  private readonly placementCost: PlacementCost;

  constructor(
    private readonly self: SelectingProxy,
    private readonly tuning: EdgeTuning,
  ) {
    this.placementCost = createPlacementCost(self, tuning, (model, zone) => this.isPreemptive(model, zone));
  }

  private isPreemptive(model: string, zone: string): boolean {
    return this.preemptiveOf(model).includes(zone);
  }

  applyList(list: readonly WorkerEntry[], now: number): void {
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
      const sameModel = this.byModel.get(row.entry.model);
      if (sameModel) sameModel.push(row);
      else this.byModel.set(row.entry.model, [row]);
    }
    this.listed = true;
  }

  applyZones(
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

  private usable(row: RegistryRow, request: SelectionRequest): boolean {
    if (row.leaving || !row.present || this.evacuated[row.entry.zone] !== undefined) return false;
    if (request.homes.length > 0 && !request.homes.includes(row.entry.region)) return false;
    return !request.avoid.has(row.entry.id);
  }

  private hasColdStartQuota(row: RegistryRow, request: SelectionRequest): boolean {
    if (row.coldUntil <= request.now || !request.traits || request.traits.coldRateS <= 0) return true;
    return row.cold.hasCapacity(request.now, this.coldStartQuota(row, request.traits));
  }

  private coldStartQuota(row: RegistryRow, traits: ModelTraits): number {
    const sharingProxies = this.owners.sharingCount();
    const whole = Math.floor((traits.coldRateS * this.tuning.coldOver + this.tuning.coldSlack) * this.tuning.coldGuard);
    if (whole >= LEAST_SHARE * sharingProxies) return Math.max(1, Math.floor(whole / sharingProxies));
    const names = this.owners.ownersOf(row, Math.max(1, Math.floor(whole / LEAST_SHARE)));
    return names.includes(this.self.name) ? Math.max(1, Math.floor(whole / names.length)) : 0;
  }

  private slotsOf(row: RegistryRow, request: SelectionRequest): number {
    const batch = row.entry.places > 0 ? row.entry.places : (request.traits?.engine?.batch ?? 1);
    const connections =
      request.traits && request.traits.maxConns > 0
        ? Math.max(1, Math.floor((request.traits.maxConns * this.tuning.connectionGuard) / this.owners.sharingCount()))
        : Infinity;
    return Math.min(batch, connections);
  }

  selectWorker(request: SelectionRequest): Selection {
    const list = this.byModel.get(request.model) ?? [];
    const home = request.pinned ? this.homeOf(list, request) : null;
    let found: RegistryRow | null = null;
    let least = Infinity;
    let any = false;
    for (const row of list) {
      if (!this.usable(row, request)) continue;
      if (!row.unproven) any = true;
      if (row.unproven || row.badUntil > request.now || row.fullUntil > request.now) continue;
      if (row.fails > 0 && row.running > 0) continue;
      if (row.running >= this.slotsOf(row, request) || !this.hasColdStartQuota(row, request)) continue;
      const ms = this.placementCost.cost(row, request, home);
      if (ms < least) {
        least = ms;
        found = row;
      }
    }
    if (found) return { tag: 'row', row: found, waitMs: least };
    return any || !this.listed ? { tag: 'busy' } : { tag: 'none' };
  }

  private homeOf(list: readonly RegistryRow[], request: SelectionRequest): RegistryRow | null {
    if (request.parts.length < 2) return null;
    const open: RegistryRow[] = [];
    for (const row of list)
      if (this.usable(row, request) && !row.unproven && row.badUntil <= request.now) open.push(row);
    return homeAmong(open, request.parts, this.tuning);
  }

  reserve(row: RegistryRow, request: SelectionRequest): Reservation {
    const known = request.pinned ? row.prefixCache.known(request.parts) : 0;
    const unread = Math.max(0, request.tokens - known);
    const kvTokens = request.tokens + request.outTokens;
    row.running += 1;
    row.unread += unread;
    row.kvTokens += kvTokens;
    if (row.coldUntil > request.now) row.cold.record(request.now);
    if (request.pinned) row.prefixCache.record(request.parts);
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
      row.kvTokens -= kvTokens;
    }
    return { read, end };
  }

  recordFailure(row: RegistryRow, now: number): void {
    row.fails += 1;
    row.badUntil = now + Math.min(4_000, 125 * 2 ** row.fails);
    row.prefixCache.clear();
  }

  markUnresponsive(row: RegistryRow, now: number): void {
    row.fails += 1;
    if (!row.unproven || row.unresponsiveSince === 0) row.unresponsiveSince = now;
    row.unproven = true;
    row.badUntil = now + Math.min(this.redialMs(row), 250 * 2 ** row.fails);
  }

  hasFewSharingProxies(): boolean {
    return this.owners.sharingCount() <= this.tuning.redialers;
  }

  private redialMs(row: RegistryRow): number {
    if (this.hasFewSharingProxies() || this.owners.ownersOf(row, this.tuning.redialers).includes(this.self.name))
      return this.tuning.redialMs;
    return (this.tuning.redialMs * this.owners.sharingCount()) / this.tuning.redialers;
  }

  markReachable(row: RegistryRow, now: number): void {
    if (row.unresponsiveSince > 0 && now - row.unresponsiveSince > this.tuning.doubtFromMs)
      row.doubtUntil = now + this.tuning.doubtForMs;
    row.unresponsiveSince = 0;
    row.unproven = false;
    row.badUntil = 0;
    row.fails = 0;
  }

  recordSpoiled(row: RegistryRow, now: number): void {
    row.runs.record(now, true);
    this.recordFailure(row, now);
  }

  recordServed(row: RegistryRow, now: number): void {
    row.runs.record(now, false);
    row.fails = 0;
  }

  connectMs(row: RegistryRow): number {
    const distanceMs = row.entry.region === this.self.region ? 5 : this.placementCost.regionDelayMs(row);
    return Math.min(this.tuning.connectMs, this.tuning.connectLeastMs + 3 * distanceMs);
  }

  markFull(row: RegistryRow, now: number, forMs: number): void {
    row.fullUntil = Math.max(row.fullUntil, now + forMs);
  }

  markRelocated(row: RegistryRow): void {
    row.leaving = true;
  }

  markCold(row: RegistryRow, now: number, ms: number): void {
    row.coldUntil = Math.max(row.coldUntil, now + ms);
  }

  load(now: number): LoadRows {
    const out: LoadRows = {};
    for (const row of this.currentRows.values()) {
      row.reportedLoad = {
        running: row.running,
        unread: rounded(row.unread, 100),
        kvTokens: rounded(row.kvTokens, 1_000),
        bad: row.runs.bad(now),
        ran: row.runs.ran(now),
      };
      const { running, unread, kvTokens, bad, ran } = row.reportedLoad;
      if (running > 0 || bad > 0) out[row.entry.id] = [running, unread, kvTokens, bad, ran];
    }
    return out;
  }

  applyFleetLoad(sums: LoadRows, now: number): void {
    for (const row of this.currentRows.values()) {
      const sum = sums[row.entry.id];
      const before = row.otherLoad;
      row.otherLoad = sum ? beyond(sum, row.reportedLoad) : NO_LOAD;
      if (row.unproven && row.otherLoad.ran > before.ran && row.otherLoad.bad <= before.bad)
        row.badUntil = Math.min(row.badUntil, now);
    }
  }

  rows(): Iterable<RegistryRow> {
    return this.currentRows.values();
  }

  setSharingProxies(known: Readonly<Record<string, SharingProxy>>): void {
    this.owners.setSharingProxies(known);
  }

  recordConnectTime(row: RegistryRow, ms: number): void {
    this.placementCost.recordConnectTime(row, ms);
  }
}

/** An empty registry; nothing is `none` before the first list was taken. */
export function createWorkerRegistry(self: SelectingProxy, tuning: EdgeTuning): WorkerRegistry {
  return new CostedWorkerRegistry(self, tuning);
}

function rounded(count: number, step: number): number {
  return Math.round(count / step) * step;
}
function none(): readonly string[] {
  return [];
}
