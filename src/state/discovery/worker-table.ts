/** The workers as a proxy with health checks knows them, and the candidates for a request among them. */
import type { ControlState } from '../consensus/control-state.js';
import type { Candidate } from '../forwarding/candidate.js';
import type { Order } from '../scaling/order.js';
import type { Health } from './health.js';
import { createIndices } from './indices.js';
import type { Listed } from './listed.js';
import { createPrefixTable } from './prefix-table.js';
import type { PrefixTable } from './prefix-table.js';
import type { Resolved } from '../configuration/settings-tree.js';
import { createWorkerPools } from './worker-pools.js';
import type { Picked } from './worker-pools.js';
import { freshRow, WIDEST } from './worker-row.js';
import type { WorkerRow } from './worker-row.js';

/** Kept up to date by the list, by probes and by the ledger. */
export interface WorkerTable {
  applyList(list: readonly Listed[], now: number): void;
  recordHealth(id: string, health: Health, now: number): void;
  recordMissedProbe(id: string): void;
  applyControlState(controlState: ControlState): void;
  rows(): readonly WorkerRow[];
  row(index: number): WorkerRow | null;
  begin(index: number): WorkerRow | null;
  end(row: WorkerRow): void;
  isCurrent(row: WorkerRow): boolean;
  recordRefused(index: number): void;
  recordServed(index: number): void;
  candidates(query: CandidateQuery): Candidate[];
  readonly prefixes: PrefixTable;
  modelIx(model: string): number;
}

/** What candidates are wanted for; with `complete` all workers of the model. */
export type CandidateQuery = {
  readonly model: string;
  readonly parts: readonly string[];
  readonly values: Resolved;
  readonly zone: string;
  readonly near: string;
  readonly zonesWithProxy: ReadonlySet<string>;
  readonly now: number;
  readonly homes: readonly string[] | null;
  readonly seed: string;
  readonly complete: boolean;
};

const SILENCES_UNFIT = 2;
const NARROWED_BY = 0.7;

class ProbedWorkerTable implements WorkerTable {
  private readonly names = createIndices();
  private readonly models = createIndices();
  private readonly table = new Map<number, WorkerRow>();
  readonly prefixes = createPrefixTable();
  private readonly pools = createWorkerPools();
  private orders = new Map<string, Order>();
  private departed = new Set<string>();
  private evacuated: Readonly<Record<string, number>> = {};

  applyList(list: readonly Listed[], now: number): void {
    const seen = new Set<number>();
    for (const listed of list) {
      const index = this.names.indexOf(listed.id);
      seen.add(index);
      const row = this.table.get(index);
      if (!row || row.listed.machine !== listed.machine) {
        if (row) this.prefixes.forget(index);
        this.table.set(index, freshRow(index, listed));
      } else {
        row.listed = listed;
        row.present = true;
      }
      const current = this.table.get(index) as WorkerRow;
      if (listed.state === 'draining') this.setDraining(current, listed.remainingMs, now);
    }
    for (const row of this.table.values()) {
      if (seen.has(row.index)) continue;
      row.present = false;
      if (row.inFlight === 0) {
        this.table.delete(row.index);
        this.prefixes.forget(row.index);
      }
    }
    this.pools.rebuild(this.table.values());
    this.refreshDraining();
  }

  private setDraining(row: WorkerRow, remainingMs: number | undefined, now: number): void {
    row.leaving = true;
    if (remainingMs === undefined) return;
    const by = now + remainingMs;
    if (row.leaveBy === null || by < row.leaveBy) row.leaveBy = by;
  }

  recordHealth(id: string, health: Health, now: number): void {
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
    row.others = Math.max(0, health.running - row.inFlight);
    if (health.state === 'draining') this.setDraining(row, health.remainingMs, now);
  }

  recordMissedProbe(id: string): void {
    const row = this.rowOf(id);
    if (row) row.missedProbes += 1;
  }

  private rowOf(id: string): WorkerRow | null {
    const index = this.names.find(id);
    return index === null ? null : (this.table.get(index) ?? null);
  }

  applyControlState(controlState: ControlState): void {
    this.orders = new Map();
    for (const order of Object.values(controlState.orders))
      if (order.machine !== null) this.orders.set(order.machine, order);
    this.departed = new Set(controlState.departed);
    this.evacuated = controlState.evacuated;
    this.refreshDraining();
  }

  private refreshDraining(): void {
    for (const row of this.table.values()) {
      const order = this.orders.get(row.listed.machine);
      if (this.departed.has(row.listed.machine) || order?.status === 'draining') row.leaving = true;
    }
  }

  private handedOver(row: WorkerRow): boolean {
    return row.listed.kind === 'fixed' || this.orders.get(row.listed.machine)?.status === 'ready';
  }

  private loadOf(row: WorkerRow): number {
    return row.others + row.inFlight;
  }

  private picked(query: CandidateQuery, model: number): readonly Picked[] {
    if (query.complete) return this.pools.all(query.model);
    const holders: WorkerRow[] = [];
    for (const index of this.prefixes.holders(model, query.parts)) {
      const row = this.table.get(index);
      if (row?.listed.model === query.model) holders.push(row);
    }
    return (
      this.pools.sample({ model: query.model, zone: query.near, homes: query.homes, seed: query.seed, holders }) ??
      this.pools.all(query.model)
    );
  }

  candidates(query: CandidateQuery): Candidate[] {
    const out: Candidate[] = [];
    const model = this.models.indexOf(query.model);
    for (const { row, agreed } of this.picked(query, model)) {
      const { listed } = row;
      if (!row.present || !this.handedOver(row)) continue;
      const answers =
        row.answeredAt !== null && query.now - row.answeredAt < row.freshMs && row.missedProbes < SILENCES_UNFIT;
      const warm = query.values.rampS === 0 ? 1 : (query.now - row.readyAt) / (query.values.rampS * 1_000);
      const ramping = warm < 1;
      const ramped = Math.max(1, Math.floor(query.values.workerUsageLimit * Math.min(1, warm)));
      const elsewhere = ramping && listed.zone !== query.zone && query.zonesWithProxy.has(listed.zone);
      const limit = elsewhere ? 0.5 : ramped;
      out.push({
        index: row.index,
        id: listed.id,
        address: listed.address,
        zone: listed.zone,
        region: listed.region,
        leaving: row.leaving || listed.state === 'draining',
        evacuated: this.evacuated[listed.zone] !== undefined,
        healthy: answers && row.ready,
        answersUs: answers,
        running: row.inFlight >= Math.floor(row.window) ? Math.max(this.loadOf(row), limit) : this.loadOf(row),
        limit,
        agreed,
        knownFraction:
          query.parts.length === 0 ? 0 : this.prefixes.knownBlocks(model, query.parts, row.index) / query.parts.length,
      });
    }
    return out;
  }

  begin(index: number): WorkerRow | null {
    const row = this.table.get(index) ?? null;
    if (row) row.inFlight += 1;
    return row;
  }

  end(row: WorkerRow): void {
    row.inFlight -= 1;
  }

  isCurrent(row: WorkerRow): boolean {
    return this.table.get(row.index) === row;
  }

  recordRefused(index: number): void {
    const row = this.table.get(index);
    if (row) row.window = Math.max(1, Math.min(row.window, row.inFlight) * NARROWED_BY);
  }

  recordServed(index: number): void {
    const row = this.table.get(index);
    if (row) row.window = Math.min(WIDEST, row.window + 1 / row.window);
  }

  rows(): readonly WorkerRow[] {
    return [...this.table.values()];
  }

  row(index: number): WorkerRow | null {
    return this.table.get(index) ?? null;
  }

  modelIx(name: string): number {
    return this.models.indexOf(name);
  }
}

/** An empty table. */
export function createWorkerTable(): WorkerTable {
  return new ProbedWorkerTable();
}
