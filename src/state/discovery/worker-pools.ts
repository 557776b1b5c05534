/**
 * Samples the workers of a large model as candidates for a request: a few that all proxies agree on by hashing, and
 * others by rotation.
 */
import { hash32 } from '../../base/digest.js';
import type { WorkerRow } from './worker-row.js';

/** The model and the request properties that select the sample; `holders` are workers that ran its prefix. */
export type PoolQuery = {
  readonly model: string;
  readonly zone: string;
  readonly homes: readonly string[] | null;
  readonly seed: string;
  readonly holders: readonly WorkerRow[];
};

/** A worker, and whether all proxies would sample it for this request. */
export type SampledWorker = { readonly row: WorkerRow; readonly agreed: boolean };

/** Workers by model. `sample` returns null for a model small enough to consider all of its workers. */
export interface WorkerPools {
  rebuild(rows: Iterable<WorkerRow>): void;
  all(model: string): readonly SampledWorker[];
  sample(query: PoolQuery): readonly SampledWorker[] | null;
}

type Ring = { readonly hashes: number[]; readonly rows: WorkerRow[]; cursor: number };

/** Models with at most this many workers are not sampled: all of their workers are considered. */
export const SAMPLING_THRESHOLD = 64;
const AGREED_SAMPLE_SIZE = 16;
const ZONE_SAMPLE_SIZE = 24;
const ANY_ZONE_SAMPLE_SIZE = 24;

class RingWorkerPools implements WorkerPools {
  private byModel = new Map<string, WorkerRow[]>();
  private ringsByModel = new Map<string, Map<string, Ring>>();
  private zoneRings = new Map<string, Ring>();

  private ringOf(rows: readonly WorkerRow[]): Ring {
    const sorted = rows.map(withHash).sort(byHash);
    return { hashes: sorted.map(hashOf), rows: sorted.map(rowOf), cursor: 0 };
  }

  rebuild(rows: Iterable<WorkerRow>): void {
    this.byModel = new Map();
    const rowsByRegion = new Map<string, Map<string, WorkerRow[]>>();
    const rowsByZone = new Map<string, WorkerRow[]>();
    for (const row of rows) {
      const { model, region, zone } = row.listed;
      appendTo(this.byModel, model, row);
      const byRegion = rowsByRegion.get(model) ?? new Map<string, WorkerRow[]>();
      rowsByRegion.set(model, byRegion);
      appendTo(byRegion, region, row);
      appendTo(rowsByZone, `${model}|${zone}`, row);
    }
    this.ringsByModel = new Map();
    this.zoneRings = new Map();
    for (const [model, rowsOfModel] of rowsByRegion) {
      if ((this.byModel.get(model)?.length ?? 0) <= SAMPLING_THRESHOLD) continue;
      const rings = new Map<string, Ring>();
      for (const [region, regionRows] of rowsOfModel) rings.set(region, this.ringOf(regionRows));
      this.ringsByModel.set(model, rings);
    }
    for (const [key, zoneRows] of rowsByZone)
      if (zoneRows.length > 0) this.zoneRings.set(key, { hashes: [], rows: zoneRows, cursor: 0 });
  }

  all(model: string): readonly SampledWorker[] {
    return (this.byModel.get(model) ?? []).map(asAgreed);
  }

  sample(query: PoolQuery): readonly SampledWorker[] | null {
    const byRegion = this.ringsByModel.get(query.model);
    if (!byRegion) return null;
    const rings: Ring[] = [];
    for (const [region, ring] of byRegion) if (query.homes === null || query.homes.includes(region)) rings.push(ring);
    if (rings.length === 0) return [];
    const agreed = new Set<WorkerRow>();
    const others = new Set<WorkerRow>(query.holders);
    const hash = hash32(query.seed);
    const perRegion = Math.ceil(AGREED_SAMPLE_SIZE / rings.length);
    for (const ring of rings) addRange(agreed, ring.rows, firstAtOrAfter(ring.hashes, hash), perRegion);
    const zoneRing = this.zoneRings.get(`${query.model}|${query.zone}`);
    if (zoneRing) this.addNext(others, zoneRing, ZONE_SAMPLE_SIZE);
    for (const ring of rings) this.addNext(others, ring, Math.ceil(ANY_ZONE_SAMPLE_SIZE / rings.length));
    const sampled: SampledWorker[] = [];
    for (const row of agreed) sampled.push({ row, agreed: true });
    for (const row of others) if (!agreed.has(row)) sampled.push({ row, agreed: false });
    return sampled;
  }

  private addNext(into: Set<WorkerRow>, ring: Ring, count: number): void {
    addRange(into, ring.rows, ring.cursor, count);
    ring.cursor = (ring.cursor + count) % ring.rows.length;
  }
}

/** Creates empty pools. */
export function createWorkerPools(): WorkerPools {
  return new RingWorkerPools();
}

function appendTo(into: Map<string, WorkerRow[]>, key: string, row: WorkerRow): void {
  const list = into.get(key);
  if (list) list.push(row);
  else into.set(key, [row]);
}

function addRange(into: Set<WorkerRow>, rows: readonly WorkerRow[], from: number, count: number): void {
  for (let i = 0; i < Math.min(count, rows.length); i += 1) into.add(rows[(from + i) % rows.length] as WorkerRow);
}

function firstAtOrAfter(hashes: readonly number[], hash: number): number {
  let low = 0;
  let high = hashes.length;
  while (low < high) {
    const mid = (low + high) >>> 1;
    if ((hashes[mid] as number) < hash) low = mid + 1;
    else high = mid;
  }
  return low % hashes.length;
}

type HashedRow = { readonly hash: number; readonly row: WorkerRow };
function withHash(row: WorkerRow): HashedRow {
  return { hash: hash32(row.listed.id), row };
}
function byHash(left: HashedRow, right: HashedRow): number {
  return left.hash - right.hash || (left.row.listed.id < right.row.listed.id ? -1 : 1);
}
function hashOf(hashedRow: HashedRow): number {
  return hashedRow.hash;
}
function rowOf(hashedRow: HashedRow): WorkerRow {
  return hashedRow.row;
}
function asAgreed(row: WorkerRow): SampledWorker {
  return { row, agreed: true };
}
