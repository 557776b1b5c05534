/**
 * Which of many workers are looked at for a request: a few that all proxies agree on by hashing, and others in turn.
 */
import { hash32 } from '../../base/digest.js';
import type { WorkerRow } from './worker-row.js';

/** The model and what is known of the request. */
export type PoolQuery = {
  readonly model: string;
  readonly zone: string;
  readonly homes: readonly string[] | null;
  readonly seed: string;
  readonly holders: readonly WorkerRow[];
};

/** A worker, and whether all proxies would look at it for this request. */
export type Picked = { readonly row: WorkerRow; readonly agreed: boolean };

/** Workers by model. */
export interface WorkerPools {
  rebuild(rows: Iterable<WorkerRow>): void;
  all(model: string): readonly Picked[];
  sample(query: PoolQuery): readonly Picked[] | null;
}

type Ring = { readonly at: number[]; readonly rows: WorkerRow[]; cursor: number };

/** Up to so many workers of a model all are looked at. */
export const LOOKED_AT = 64;
const AGREED = 16;
const NEAR = 24;
const ANYWHERE = 24;

class RingWorkerPools implements WorkerPools {
  private byModel = new Map<string, WorkerRow[]>();
  private rings = new Map<string, Map<string, Ring>>();
  private zones = new Map<string, Ring>();

  private ringOf(rows: readonly WorkerRow[]): Ring {
    const sorted = rows.map(hashed).sort(byHash);
    return { at: sorted.map(hashOf), rows: sorted.map(rowOf), cursor: 0 };
  }

  rebuild(rows: Iterable<WorkerRow>): void {
    this.byModel = new Map();
    const regions = new Map<string, Map<string, WorkerRow[]>>();
    const near = new Map<string, WorkerRow[]>();
    for (const row of rows) {
      const { model, region, zone } = row.listed;
      append(this.byModel, model, row);
      const byRegion = regions.get(model) ?? new Map<string, WorkerRow[]>();
      regions.set(model, byRegion);
      append(byRegion, region, row);
      append(near, `${model}|${zone}`, row);
    }
    this.rings = new Map();
    this.zones = new Map();
    for (const [model, byRegion] of regions) {
      if ((this.byModel.get(model)?.length ?? 0) <= LOOKED_AT) continue;
      const made = new Map<string, Ring>();
      for (const [region, list] of byRegion) made.set(region, this.ringOf(list));
      this.rings.set(model, made);
    }
    for (const [key, list] of near) if (list.length > 0) this.zones.set(key, { at: [], rows: list, cursor: 0 });
  }

  all(model: string): readonly Picked[] {
    return (this.byModel.get(model) ?? []).map(agreedOn);
  }

  sample(query: PoolQuery): readonly Picked[] | null {
    const byRegion = this.rings.get(query.model);
    if (!byRegion) return null;
    const regions: Ring[] = [];
    for (const [region, ring] of byRegion) if (query.homes === null || query.homes.includes(region)) regions.push(ring);
    if (regions.length === 0) return [];
    const agreed = new Set<WorkerRow>();
    const others = new Set<WorkerRow>(query.holders);
    const hash = hash32(query.seed);
    const each = Math.ceil(AGREED / regions.length);
    for (const ring of regions) addRange(agreed, ring.rows, firstFrom(ring.at, hash), each);
    const near = this.zones.get(`${query.model}|${query.zone}`);
    if (near) this.addNext(others, near, NEAR);
    for (const ring of regions) this.addNext(others, ring, Math.ceil(ANYWHERE / regions.length));
    const out: Picked[] = [];
    for (const row of agreed) out.push({ row, agreed: true });
    for (const row of others) if (!agreed.has(row)) out.push({ row, agreed: false });
    return out;
  }

  private addNext(into: Set<WorkerRow>, ring: Ring, count: number): void {
    addRange(into, ring.rows, ring.cursor, count);
    ring.cursor = (ring.cursor + count) % ring.rows.length;
  }
}

/** No workers yet. */
export function createWorkerPools(): WorkerPools {
  return new RingWorkerPools();
}

function append(into: Map<string, WorkerRow[]>, key: string, row: WorkerRow): void {
  const list = into.get(key);
  if (list) list.push(row);
  else into.set(key, [row]);
}

function addRange(into: Set<WorkerRow>, rows: readonly WorkerRow[], from: number, count: number): void {
  for (let i = 0; i < Math.min(count, rows.length); i += 1) into.add(rows[(from + i) % rows.length] as WorkerRow);
}

function firstFrom(at: readonly number[], hash: number): number {
  let low = 0;
  let high = at.length;
  while (low < high) {
    const mid = (low + high) >>> 1;
    if ((at[mid] as number) < hash) low = mid + 1;
    else high = mid;
  }
  return low % at.length;
}

type HashedRow = { readonly hash: number; readonly row: WorkerRow };
function hashed(row: WorkerRow): HashedRow {
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
function agreedOn(row: WorkerRow): Picked {
  return { row, agreed: true };
}
