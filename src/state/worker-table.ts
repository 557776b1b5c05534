import type { ControlState } from './control-state.js';
import type { Candidate } from './candidate.js';
import type { Order } from './order.js';
import type { Health } from './health.js';
import { createIndices } from './indices.js';
import type { Listed } from './listed.js';
import { createPrefixTable } from './prefix-table.js';
import type { PrefixTable } from './prefix-table.js';
import type { Resolved } from './settings-tree.js';
import { createWorkerPools } from './worker-pools.js';
import type { Picked } from './worker-pools.js';
import { freshRow, WIDEST } from './worker-row.js';
import type { WorkerRow } from './worker-row.js';

export type WorkerTable = {
  readonly takeList: (list: readonly Listed[], now: number) => void;
  readonly takeHealth: (id: string, health: Health, now: number) => void;
  readonly takeSilence: (id: string) => void;
  readonly takeControlState: (controlState: ControlState) => void;
  readonly rows: () => readonly WorkerRow[];
  readonly row: (ix: number) => WorkerRow | null;
  readonly begin: (ix: number) => WorkerRow | null;
  readonly end: (row: WorkerRow) => void;
  readonly isCurrent: (row: WorkerRow) => boolean;
  readonly refused: (ix: number) => void;
  readonly served: (ix: number) => void;
  readonly candidates: (ask: CandidateAsk) => Candidate[];
  readonly prefixes: PrefixTable;
  readonly modelIx: (model: string) => number;
};

export type CandidateAsk = {
  readonly model: string;
  readonly parts: readonly string[];
  readonly values: Resolved;
  readonly zone: string;
  readonly near: string;
  readonly zonesWithProxy: ReadonlySet<string>;
  readonly now: number;
  readonly homes: readonly string[] | null;
  readonly seed: string;
  readonly whole: boolean;
};

const SILENCES_UNFIT = 2;
const NARROWED_BY = 0.7;

export function createWorkerTable(): WorkerTable {
  const names = createIndices();
  const models = createIndices();
  const table = new Map<number, WorkerRow>();
  const prefixes = createPrefixTable();
  const pools = createWorkerPools();
  let orders = new Map<string, Order>();
  let departed = new Set<string>();
  let evacuated: Readonly<Record<string, number>> = {};

  function takeList(list: readonly Listed[], now: number): void {
    const seen = new Set<number>();
    for (const listed of list) {
      const ix = names.of(listed.id);
      seen.add(ix);
      const row = table.get(ix);
      if (!row || row.listed.machine !== listed.machine) {
        if (row) prefixes.forget(ix);
        table.set(ix, freshRow(ix, listed));
      } else {
        row.listed = listed;
        row.present = true;
      }
      const held = table.get(ix) as WorkerRow;
      if (listed.state === 'draining') markLeaving(held, listed.remainingMs, now);
    }
    for (const row of table.values()) {
      if (seen.has(row.ix)) continue;
      row.present = false;
      if (row.inFlight === 0) {
        table.delete(row.ix);
        prefixes.forget(row.ix);
      }
    }
    pools.rebuild(table.values());
    applyControlState();
  }

  function markLeaving(row: WorkerRow, remainingMs: number | undefined, now: number): void {
    row.leaving = true;
    if (remainingMs === undefined) return;
    const by = now + remainingMs;
    if (row.leaveBy === null || by < row.leaveBy) row.leaveBy = by;
  }

  function takeHealth(id: string, health: Health, now: number): void {
    const row = rowOf(id);
    if (!row) return;
    if (row.incarnation !== health.incarnation) {
      if (row.incarnation !== null) prefixes.forget(row.ix);
      row.incarnation = health.incarnation;
    }
    row.answeredAt = now;
    row.silences = 0;
    row.ready = health.state === 'ready' && health.model === row.listed.model;
    row.readyAt = now - health.readyForMs;
    row.reported = health.running;
    row.others = Math.max(0, health.running - row.inFlight);
    if (health.state === 'draining') markLeaving(row, health.remainingMs, now);
  }

  function takeSilence(id: string): void {
    const row = rowOf(id);
    if (row) row.silences += 1;
  }

  function rowOf(id: string): WorkerRow | null {
    const ix = names.find(id);
    return ix === null ? null : (table.get(ix) ?? null);
  }

  function takeControlState(controlState: ControlState): void {
    orders = new Map();
    for (const order of Object.values(controlState.orders))
      if (order.machine !== null) orders.set(order.machine, order);
    departed = new Set(controlState.departed);
    evacuated = controlState.evacuated;
    applyControlState();
  }

  function applyControlState(): void {
    for (const row of table.values()) {
      const order = orders.get(row.listed.machine);
      if (departed.has(row.listed.machine) || order?.status === 'draining') row.leaving = true;
    }
  }

  function handedOver(row: WorkerRow): boolean {
    return row.listed.kind === 'fixed' || orders.get(row.listed.machine)?.status === 'ready';
  }

  function usageOf(row: WorkerRow): number {
    return row.others + row.inFlight;
  }

  function picked(ask: CandidateAsk, model: number): readonly Picked[] {
    if (ask.whole) return pools.all(ask.model);
    const holders: WorkerRow[] = [];
    for (const ix of prefixes.holders(model, ask.parts)) {
      const row = table.get(ix);
      if (row?.listed.model === ask.model) holders.push(row);
    }
    return (
      pools.few({ model: ask.model, zone: ask.near, homes: ask.homes, seed: ask.seed, holders }) ?? pools.all(ask.model)
    );
  }

  function candidates(ask: CandidateAsk): Candidate[] {
    const out: Candidate[] = [];
    const model = models.of(ask.model);
    for (const { row, agreed } of picked(ask, model)) {
      const { listed } = row;
      if (!row.present || !handedOver(row)) continue;
      const answers =
        row.answeredAt !== null && ask.now - row.answeredAt < row.freshMs && row.silences < SILENCES_UNFIT;
      const warm = ask.values.rampS === 0 ? 1 : (ask.now - row.readyAt) / (ask.values.rampS * 1_000);
      const ramping = warm < 1;
      const ramped = Math.max(1, Math.floor(ask.values.workerUsageLimit * Math.min(1, warm)));
      const elsewhere = ramping && listed.zone !== ask.zone && ask.zonesWithProxy.has(listed.zone);
      const limit = elsewhere ? 0.5 : ramped;
      out.push({
        ix: row.ix,
        id: listed.id,
        address: listed.address,
        zone: listed.zone,
        region: listed.region,
        leaving: row.leaving || listed.state === 'draining',
        evacuated: evacuated[listed.zone] !== undefined,
        fit: answers && row.ready,
        answersUs: answers,
        running: row.inFlight >= Math.floor(row.window) ? Math.max(usageOf(row), limit) : usageOf(row),
        limit,
        agreed,
        knownShare: ask.parts.length === 0 ? 0 : prefixes.knownParts(model, ask.parts, row.ix) / ask.parts.length,
      });
    }
    return out;
  }

  function begin(ix: number): WorkerRow | null {
    const row = table.get(ix) ?? null;
    if (row) row.inFlight += 1;
    return row;
  }
  function end(row: WorkerRow): void {
    row.inFlight -= 1;
  }
  function isCurrent(row: WorkerRow): boolean {
    return table.get(row.ix) === row;
  }
  function refused(ix: number): void {
    const row = table.get(ix);
    if (row) row.window = Math.max(1, Math.min(row.window, row.inFlight) * NARROWED_BY);
  }
  function served(ix: number): void {
    const row = table.get(ix);
    if (row) row.window = Math.min(WIDEST, row.window + 1 / row.window);
  }
  function rows(): readonly WorkerRow[] {
    return [...table.values()];
  }
  function row(ix: number): WorkerRow | null {
    return table.get(ix) ?? null;
  }
  return {
    takeList,
    takeHealth,
    takeSilence,
    takeControlState,
    rows,
    row,
    begin,
    end,
    isCurrent,
    refused,
    served,
    candidates,
    prefixes,
    modelIx: models.of,
  };
}
