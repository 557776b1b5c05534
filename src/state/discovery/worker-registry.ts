/**
 * The worker registry of the opaque proxy, from which it selects workers. Updated from the worker list, zone
 * evacuations, the load reported by other proxies and the outcome of each attempt. The queue asks it for the cheapest
 * worker that can take a request now. It does no I/O, and the time is passed in.
 */

import type { EdgeTuning } from '../forwarding/edge-tuning.js';
import type { LoadRows } from '../distribution/load-rows.js';
import { selectHomeWorker } from './home-worker.js';
import { createPlacementCost } from '../forwarding/placement-cost.js';
import type { SelectingProxy, SelectionRequest, PlacementCost } from '../forwarding/placement-cost.js';
import { loadOfOthers, createRegistryRow, NO_LOAD } from './registry-row.js';
import type { RegistryRow, SharingProxy } from './registry-row.js';
import type { ModelTraits } from '../configuration/serving.js';
import type { WorkerEntry } from './worker-entry.js';
import { createWorkerOwners } from './worker-owners.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

export type { SelectingProxy, SelectionRequest } from '../forwarding/placement-cost.js';
export type { RegistryRow, SharingProxy } from './registry-row.js';

/**
 * The result of a selection: a worker and its cost, `busy` if a worker may have capacity later, or `none` if the model
 * has no usable worker.
 */
export type Selection =
  | { readonly tag: 'row'; readonly row: RegistryRow; readonly costMs: number }
  | { readonly tag: 'busy' }
  | { readonly tag: 'none' };

/** A reserved slot on a worker. Call `read` once the worker has read the prompt, `end` when the attempt ends. */
export type Reservation = { readonly read: () => void; readonly end: () => void };

/**
 * The registry of one proxy. `recordFailure` and `markUnresponsive` back off exponentially; `load` returns what this
 * proxy reports to the others, and `applyFleetLoad` applies the totals of all proxies.
 */
export interface WorkerRegistry {
  applyList(list: readonly WorkerEntry[], now: number): void;
  applyZones(
    evacuated: Readonly<Record<string, number>>,
    preemptiveZones: (model: string) => readonly string[],
    now: number,
    coldMs: (model: string) => number,
  ): void;
  selectWorker(request: SelectionRequest): Selection;
  reserve(row: RegistryRow, request: SelectionRequest): Reservation;
  recordFailure(row: RegistryRow, now: number): void;
  recordBadRun(row: RegistryRow, now: number): void;
  markUnresponsive(row: RegistryRow, now: number): void;
  markReachable(row: RegistryRow, now: number): void;
  recordServed(row: RegistryRow, now: number): void;
  connectTimeoutMs(row: RegistryRow): number;
  hasFewSharingProxies(): boolean;
  markFull(row: RegistryRow, now: number, forMs: number): void;
  markRelocated(row: RegistryRow): void;
  markCold(row: RegistryRow, now: number, ms: number): void;
  rows(): Iterable<RegistryRow>;
  setSharingProxies(proxies: Readonly<Record<string, SharingProxy>>): void;
  load(now: number): LoadRows;
  applyFleetLoad(totals: LoadRows, now: number): void;
  recordConnectTime(row: RegistryRow, ms: number): void;
}

/** Smallest share of a cold start quota; below it, only the owners of the worker have a share. */
const MIN_SHARE = 2;

class CostedWorkerRegistry implements WorkerRegistry {
  private readonly rowsById = new Map<string, RegistryRow>();
  private byModel = new Map<string, RegistryRow[]>();
  private evacuatedZones: Readonly<Record<string, number>> = {};
  private preemptiveZonesOf: (model: string) => readonly string[] = noZones;
  private hasList = false;
  private readonly owners = createWorkerOwners();
  private readonly placementCost: PlacementCost;

  constructor(
    private readonly self: SelectingProxy,
    private readonly tuning: EdgeTuning,
  ) {
    this.placementCost = createPlacementCost(self, tuning, (model, zone) => this.isPreemptive(model, zone));
  }

  private isPreemptive(model: string, zone: string): boolean {
    return this.preemptiveZonesOf(model).includes(zone);
  }

  applyList(list: readonly WorkerEntry[], now: number): void {
    const seen = new Set<string>();
    for (const entry of list) {
      seen.add(entry.id);
      let row = this.rowsById.get(entry.id);
      if (!row) {
        row = createRegistryRow(entry, this.tuning);
        this.rowsById.set(entry.id, row);
      }
      row.entry = entry;
      row.present = true;
      if (entry.leaving) row.leaving = true;
      if (entry.remainingMs !== null) row.leaveBy = Math.min(row.leaveBy ?? Infinity, now + entry.remainingMs);
      if (entry.coldMs > 0) row.coldUntil = Math.max(row.coldUntil, now + entry.coldMs + 200);
    }
    for (const [id, row] of this.rowsById) {
      if (seen.has(id)) continue;
      row.present = false;
      if (row.running === 0) this.rowsById.delete(id);
    }
    this.byModel = new Map();
    for (const row of this.rowsById.values()) {
      if (!row.present) continue;
      const sameModel = this.byModel.get(row.entry.model);
      if (sameModel) sameModel.push(row);
      else this.byModel.set(row.entry.model, [row]);
    }
    this.hasList = true;
  }

  applyZones(
    evacuated: Readonly<Record<string, number>>,
    preemptiveZones: (model: string) => readonly string[],
    now: number,
    coldMs: (model: string) => number,
  ): void {
    for (const zone of Object.keys(this.evacuatedZones)) {
      if (ownValue(evacuated, zone) !== undefined) continue;
      for (const row of this.rowsById.values())
        if (row.entry.zone === zone) row.coldUntil = Math.max(row.coldUntil, now + coldMs(row.entry.model));
    }
    this.evacuatedZones = { ...evacuated };
    this.preemptiveZonesOf = preemptiveZones;
  }

  private isUsable(row: RegistryRow, request: SelectionRequest): boolean {
    if (row.leaving || !row.present || ownValue(this.evacuatedZones, row.entry.zone) !== undefined) return false;
    if (request.homes.length > 0 && !request.homes.includes(row.entry.region)) return false;
    return !request.avoid.has(row.entry.id);
  }

  private hasColdStartQuota(row: RegistryRow, request: SelectionRequest): boolean {
    if (row.coldUntil <= request.now || !request.traits || request.traits.coldRateS <= 0) return true;
    return row.coldStarts.hasCapacity(request.now, this.coldStartQuota(row, request.traits));
  }

  private coldStartQuota(row: RegistryRow, traits: ModelTraits): number {
    const proxyCount = this.owners.sharingCount();
    const fleetQuota = Math.floor(
      (traits.coldRateS * this.tuning.coldOver + this.tuning.coldSlack) * this.tuning.coldGuard,
    );
    if (fleetQuota >= MIN_SHARE * proxyCount) return Math.max(1, Math.floor(fleetQuota / proxyCount));
    const ownerNames = this.owners.ownersOf(row, Math.max(1, Math.floor(fleetQuota / MIN_SHARE)));
    return ownerNames.includes(this.self.name) ? Math.max(1, Math.floor(fleetQuota / ownerNames.length)) : 0;
  }

  private slotsOf(row: RegistryRow, request: SelectionRequest): number {
    const batchSlots = row.entry.places > 0 ? row.entry.places : (request.traits?.engine?.batch ?? 1);
    const maxConnections =
      request.traits && request.traits.maxConns > 0
        ? Math.max(1, Math.floor((request.traits.maxConns * this.tuning.connectionGuard) / this.owners.sharingCount()))
        : Infinity;
    return Math.min(batchSlots, maxConnections);
  }

  selectWorker(request: SelectionRequest): Selection {
    const rows = this.byModel.get(request.model) ?? [];
    const home = request.pinned ? this.homeWorkerOf(rows, request) : null;
    let cheapest: RegistryRow | null = null;
    let lowestCostMs = Infinity;
    let hasCandidate = false;
    for (const row of rows) {
      if (!this.isUsable(row, request)) continue;
      if (!row.isSuspected) hasCandidate = true;
      if (row.isSuspected || row.backoffUntil > request.now || row.fullUntil > request.now) continue;
      if (row.consecutiveFailures > 0 && row.running > 0) continue;
      if (row.running >= this.slotsOf(row, request) || !this.hasColdStartQuota(row, request)) continue;
      const costMs = this.placementCost.cost(row, request, home);
      if (costMs < lowestCostMs) {
        lowestCostMs = costMs;
        cheapest = row;
      }
    }
    if (cheapest) return { tag: 'row', row: cheapest, costMs: lowestCostMs };
    return hasCandidate || !this.hasList ? { tag: 'busy' } : { tag: 'none' };
  }

  private homeWorkerOf(rows: readonly RegistryRow[], request: SelectionRequest): RegistryRow | null {
    if (request.parts.length < 2) return null;
    const candidates: RegistryRow[] = [];
    for (const row of rows)
      if (this.isUsable(row, request) && !row.isSuspected && row.backoffUntil <= request.now) candidates.push(row);
    return selectHomeWorker(candidates, request.parts, this.tuning);
  }

  reserve(row: RegistryRow, request: SelectionRequest): Reservation {
    const knownTokens = request.pinned ? row.prefixCache.knownTokens(request.parts) : 0;
    const unreadTokens = Math.max(0, request.tokens - knownTokens);
    const reservedKvTokens = request.tokens + request.outTokens;
    row.running += 1;
    row.unreadTokens += unreadTokens;
    row.kvTokens += reservedKvTokens;
    if (row.coldUntil > request.now) row.coldStarts.record(request.now);
    if (request.pinned) row.prefixCache.record(request.parts);
    let isReading = true;
    let hasEnded = false;
    function read(): void {
      if (isReading) row.unreadTokens -= unreadTokens;
      isReading = false;
    }
    function end(): void {
      read();
      if (hasEnded) return;
      hasEnded = true;
      row.running -= 1;
      row.kvTokens -= reservedKvTokens;
    }
    return { read, end };
  }

  recordFailure(row: RegistryRow, now: number): void {
    row.consecutiveFailures += 1;
    row.backoffUntil = now + Math.min(4_000, 125 * 2 ** row.consecutiveFailures);
    row.prefixCache.clear();
  }

  markUnresponsive(row: RegistryRow, now: number): void {
    row.consecutiveFailures += 1;
    if (!row.isSuspected || row.unresponsiveSince === 0) row.unresponsiveSince = now;
    row.isSuspected = true;
    row.backoffUntil = now + Math.min(this.redialIntervalMs(row), 250 * 2 ** row.consecutiveFailures);
  }

  hasFewSharingProxies(): boolean {
    return this.owners.sharingCount() <= this.tuning.redialers;
  }

  private redialIntervalMs(row: RegistryRow): number {
    if (this.hasFewSharingProxies() || this.owners.ownersOf(row, this.tuning.redialers).includes(this.self.name))
      return this.tuning.redialMs;
    return (this.tuning.redialMs * this.owners.sharingCount()) / this.tuning.redialers;
  }

  markReachable(row: RegistryRow, now: number): void {
    if (row.unresponsiveSince > 0 && now - row.unresponsiveSince > this.tuning.doubtFromMs)
      row.doubtUntil = now + this.tuning.doubtForMs;
    row.unresponsiveSince = 0;
    row.isSuspected = false;
    row.backoffUntil = 0;
    row.consecutiveFailures = 0;
  }

  recordBadRun(row: RegistryRow, now: number): void {
    row.runs.record(now, true);
    this.recordFailure(row, now);
  }

  recordServed(row: RegistryRow, now: number): void {
    row.runs.record(now, false);
    row.consecutiveFailures = 0;
  }

  connectTimeoutMs(row: RegistryRow): number {
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
    const loads: LoadRows = {};
    for (const row of this.rowsById.values()) {
      row.reportedLoad = {
        running: row.running,
        unreadTokens: roundToMultiple(row.unreadTokens, 100),
        kvTokens: roundToMultiple(row.kvTokens, 1_000),
        bad: row.runs.bad(now),
        ran: row.runs.total(now),
      };
      const { running, unreadTokens, kvTokens, bad, ran } = row.reportedLoad;
      if (running > 0 || bad > 0) setOwnValue(loads, row.entry.id, [running, unreadTokens, kvTokens, bad, ran]);
    }
    return loads;
  }

  applyFleetLoad(totals: LoadRows, now: number): void {
    for (const row of this.rowsById.values()) {
      const total = ownValue(totals, row.entry.id);
      const previous = row.otherLoad;
      row.otherLoad = total ? loadOfOthers(total, row.reportedLoad) : NO_LOAD;
      if (row.isSuspected && row.otherLoad.ran > previous.ran && row.otherLoad.bad <= previous.bad)
        row.backoffUntil = Math.min(row.backoffUntil, now);
    }
  }

  rows(): Iterable<RegistryRow> {
    return this.rowsById.values();
  }

  setSharingProxies(proxies: Readonly<Record<string, SharingProxy>>): void {
    this.owners.setSharingProxies(proxies);
  }

  recordConnectTime(row: RegistryRow, ms: number): void {
    this.placementCost.recordConnectTime(row, ms);
  }
}

/** Creates an empty registry. Before the first list is applied, a selection is never `none`. */
export function createWorkerRegistry(self: SelectingProxy, tuning: EdgeTuning): WorkerRegistry {
  return new CostedWorkerRegistry(self, tuning);
}

function roundToMultiple(count: number, step: number): number {
  return Math.round(count / step) * step;
}
function noZones(): readonly string[] {
  return [];
}
