/** The worker table of a proxy that runs health checks, and the selection of candidates for a request. */
import type { ControlState } from '../consensus/control-state.js';
import type { Candidate } from '../forwarding/candidate.js';
import type { Order } from '../scaling/order.js';
import type { HealthReport } from './health.js';
import { createIndices } from './indices.js';
import type { ListedWorker } from './listed.js';
import { createPrefixTable } from './prefix-table.js';
import type { PrefixTable } from './prefix-table.js';
import type { ResolvedSettings } from '../configuration/settings-tree.js';
import { createWorkerPools } from './worker-pools.js';
import type { SampledWorker } from './worker-pools.js';
import { createWorkerRow, MAX_WINDOW } from './worker-row.js';
import type { WorkerRow } from './worker-row.js';
import { ownValue } from '../../base/own-value.js';

/**
 * Updated by the worker list, by probes and by the replicated log. The window of a worker shrinks when it rejects a
 * request, and grows with each request that it serves.
 */
export interface WorkerTable {
  applyList(list: readonly ListedWorker[], now: number): void;
  recordHealth(id: string, health: HealthReport, now: number): void;
  recordMissedProbe(id: string): void;
  applyControlState(controlState: ControlState): void;
  rows(): readonly WorkerRow[];
  row(index: number): WorkerRow | null;
  begin(index: number): WorkerRow | null;
  end(row: WorkerRow): void;
  isCurrent(row: WorkerRow): boolean;
  recordRejected(index: number): void;
  recordServed(index: number): void;
  candidates(query: CandidateQuery): Candidate[];
  readonly prefixes: PrefixTable;
  modelIndex(model: string): number;
}

/**
 * The request that candidates are selected for. `zone` is the zone of this proxy; the zone of the caller selects the
 * near workers of the sample. With `complete`, all workers of the model are considered instead of a sample.
 */
export type CandidateQuery = {
  readonly model: string;
  readonly parts: readonly string[];
  readonly values: ResolvedSettings;
  readonly zone: string;
  readonly callerZone: string;
  readonly zonesWithProxy: ReadonlySet<string>;
  readonly now: number;
  readonly homes: readonly string[] | null;
  readonly seed: string;
  readonly complete: boolean;
};

const UNHEALTHY_MISSED_PROBES = 2;
const WINDOW_DECREASE_FACTOR = 0.7;

class ProbedWorkerTable implements WorkerTable {
  private readonly workerIndices = createIndices();
  private readonly modelIndices = createIndices();
  private readonly rowsByIndex = new Map<number, WorkerRow>();
  readonly prefixes = createPrefixTable();
  private readonly pools = createWorkerPools();
  private ordersByMachine = new Map<string, Order>();
  private departedMachines = new Set<string>();
  private evacuatedZones: Readonly<Record<string, number>> = {};

  applyList(list: readonly ListedWorker[], now: number): void {
    const seen = new Set<number>();
    for (const listed of list) {
      const index = this.workerIndices.indexOf(listed.id);
      seen.add(index);
      const row = this.rowsByIndex.get(index);
      if (!row || row.listed.machine !== listed.machine) {
        if (row) this.prefixes.forget(index);
        this.rowsByIndex.set(index, createWorkerRow(index, listed));
      } else {
        row.listed = listed;
        row.present = true;
      }
      const current = this.rowsByIndex.get(index) as WorkerRow;
      if (listed.state === 'draining') this.markDraining(current, listed.remainingMs, now);
    }
    for (const row of this.rowsByIndex.values()) {
      if (seen.has(row.index)) continue;
      row.present = false;
      if (row.inFlight === 0) {
        this.rowsByIndex.delete(row.index);
        this.prefixes.forget(row.index);
      }
    }
    this.pools.rebuild(this.rowsByIndex.values());
    this.refreshDraining();
  }

  private markDraining(row: WorkerRow, remainingMs: number | undefined, now: number): void {
    row.leaving = true;
    if (remainingMs === undefined) return;
    const leaveBy = now + remainingMs;
    if (row.leaveBy === null || leaveBy < row.leaveBy) row.leaveBy = leaveBy;
  }

  recordHealth(id: string, health: HealthReport, now: number): void {
    const row = this.rowOf(id);
    if (!row) return;
    if (row.incarnation !== health.incarnation) {
      if (row.incarnation !== null) this.prefixes.forget(row.index);
      row.incarnation = health.incarnation;
    }
    row.answeredAt = now;
    row.missedProbes = 0;
    row.ready = health.state === 'ready' && health.model === row.listed.model;
    row.readyAt = now - health.readyForMs;
    row.reported = health.running;
    row.runningElsewhere = Math.max(0, health.running - row.inFlight);
    if (health.state === 'draining') this.markDraining(row, health.remainingMs, now);
  }

  recordMissedProbe(id: string): void {
    const row = this.rowOf(id);
    if (row) row.missedProbes += 1;
  }

  private rowOf(id: string): WorkerRow | null {
    const index = this.workerIndices.find(id);
    return index === null ? null : (this.rowsByIndex.get(index) ?? null);
  }

  applyControlState(controlState: ControlState): void {
    this.ordersByMachine = new Map();
    for (const order of Object.values(controlState.orders))
      if (order.machine !== null) this.ordersByMachine.set(order.machine, order);
    this.departedMachines = new Set(controlState.departed);
    this.evacuatedZones = controlState.evacuated;
    this.refreshDraining();
  }

  private refreshDraining(): void {
    for (const row of this.rowsByIndex.values()) {
      const order = this.ordersByMachine.get(row.listed.machine);
      if (this.departedMachines.has(row.listed.machine) || order?.status === 'draining') row.leaving = true;
    }
  }

  private wasHandedOver(row: WorkerRow): boolean {
    return row.listed.kind === 'fixed' || this.ordersByMachine.get(row.listed.machine)?.status === 'ready';
  }

  private loadOf(row: WorkerRow): number {
    return row.runningElsewhere + row.inFlight;
  }

  private sampledWorkers(query: CandidateQuery, model: number): readonly SampledWorker[] {
    if (query.complete) return this.pools.all(query.model);
    const holders: WorkerRow[] = [];
    for (const index of this.prefixes.holders(model, query.parts)) {
      const row = this.rowsByIndex.get(index);
      if (row?.listed.model === query.model) holders.push(row);
    }
    return (
      this.pools.sample({
        model: query.model,
        zone: query.callerZone,
        homes: query.homes,
        seed: query.seed,
        holders,
      }) ?? this.pools.all(query.model)
    );
  }

  candidates(query: CandidateQuery): Candidate[] {
    const candidates: Candidate[] = [];
    const model = this.modelIndices.indexOf(query.model);
    for (const { row, agreed } of this.sampledWorkers(query, model)) {
      const { listed } = row;
      if (!row.present || !this.wasHandedOver(row)) continue;
      const isResponsive =
        row.answeredAt !== null &&
        query.now - row.answeredAt < row.healthMaxAgeMs &&
        row.missedProbes < UNHEALTHY_MISSED_PROBES;
      const warmFraction = query.values.rampS === 0 ? 1 : (query.now - row.readyAt) / (query.values.rampS * 1_000);
      const isRamping = warmFraction < 1;
      const rampedLimit = Math.max(1, Math.floor(query.values.workerUsageLimit * Math.min(1, warmFraction)));
      const isLeftToOwnZone = isRamping && listed.zone !== query.zone && query.zonesWithProxy.has(listed.zone);
      const limit = isLeftToOwnZone ? 0.5 : rampedLimit;
      candidates.push({
        index: row.index,
        id: listed.id,
        address: listed.address,
        zone: listed.zone,
        region: listed.region,
        leaving: row.leaving || listed.state === 'draining',
        evacuated: ownValue(this.evacuatedZones, listed.zone) !== undefined,
        healthy: isResponsive && row.ready,
        respondsToProbes: isResponsive,
        running: row.inFlight >= Math.floor(row.window) ? Math.max(this.loadOf(row), limit) : this.loadOf(row),
        limit,
        agreed,
        cachedFraction:
          query.parts.length === 0 ? 0 : this.prefixes.knownBlocks(model, query.parts, row.index) / query.parts.length,
      });
    }
    return candidates;
  }

  begin(index: number): WorkerRow | null {
    const row = this.rowsByIndex.get(index) ?? null;
    if (row) row.inFlight += 1;
    return row;
  }

  end(row: WorkerRow): void {
    row.inFlight -= 1;
  }

  isCurrent(row: WorkerRow): boolean {
    return this.rowsByIndex.get(row.index) === row;
  }

  recordRejected(index: number): void {
    const row = this.rowsByIndex.get(index);
    if (row) row.window = Math.max(1, Math.min(row.window, row.inFlight) * WINDOW_DECREASE_FACTOR);
  }

  recordServed(index: number): void {
    const row = this.rowsByIndex.get(index);
    if (row) row.window = Math.min(MAX_WINDOW, row.window + 1 / row.window);
  }

  rows(): readonly WorkerRow[] {
    return [...this.rowsByIndex.values()];
  }

  row(index: number): WorkerRow | null {
    return this.rowsByIndex.get(index) ?? null;
  }

  modelIndex(name: string): number {
    return this.modelIndices.indexOf(name);
  }
}

/** Creates an empty table. */
export function createWorkerTable(): WorkerTable {
  return new ProbedWorkerTable();
}
