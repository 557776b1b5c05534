import { createHash } from 'node:crypto';
import type { Claim, ClaimAnswer, ClaimEnd } from './claim.js';
import { createHourRanges } from './hour-ranges.js';
import type { HourRange } from './hour-ranges.js';

export type ClaimStep = { readonly answer: ClaimAnswer; readonly record: Buffer | null };
export type ClaimPage = { readonly records: Buffer; readonly next: number };

export interface ClaimTable {
  claim(claim: Claim, uptime: number): ClaimStep;
  end(end: ClaimEnd, uptime: number): Buffer | null;
  replay(record: Buffer, uptime: number): void;
  merge(records: Buffer, uptime: number): void;
  forgetBefore(uptime: number): void;
  addForgotten(ranges: readonly HourRange[]): void;
  forgotten(): readonly HourRange[];
  size(): number;
  bytes(): number;
  page(from: number, most: number): ClaimPage;
  packed(): Buffer;
}

export const CLAIM_RECORD = 28;
export const HOUR_MS = 3_600_000;
const KEY_BYTES = 16;
const BY_BYTES = 8;
const HOUR_AT = KEY_BYTES + BY_BYTES;
const STATE_AT = HOUR_AT + 3;
const HEAD_BYTES = 16;
const POSITIONS = 2 ** 24;
const SMALLEST = 64;
const HELD = 0;
const ANSWERED = 1;
const RELEASED = 2;

type Bucket = { readonly hour: number; rows: Buffer; index: Int32Array; count: number; lastAt: number };

function digest(text: string, bytes: number): Buffer {
  return createHash('sha256').update(text).digest().subarray(0, bytes);
}

function recordOf(key: Buffer, by: Buffer, hour: number, state: number): Buffer {
  const out = Buffer.alloc(CLAIM_RECORD);
  key.copy(out, 0);
  by.copy(out, KEY_BYTES);
  out.writeUIntBE(hour, HOUR_AT, 3);
  out[STATE_AT] = state;
  return out;
}

function hourOf(record: Buffer): number {
  return record.readUIntBE(HOUR_AT, 3);
}

class HourlyClaimTable implements ClaimTable {
  private readonly buckets = new Map<number, Bucket>();
  private readonly currentForgotten = createHourRanges();
  private claimCount = 0;

  constructor(private readonly most: number) {}

  private bucketOf(hour: number, uptime: number): Bucket {
    const have = this.buckets.get(hour);
    if (have) return have;
    const made: Bucket = {
      hour,
      rows: Buffer.alloc(SMALLEST * CLAIM_RECORD),
      index: new Int32Array(2 * SMALLEST),
      count: 0,
      lastAt: uptime,
    };
    this.buckets.set(hour, made);
    return made;
  }

  private slotOf(b: Bucket, key: Buffer): number {
    const mask = b.index.length - 1;
    let at = key.readUInt32LE(0) & mask;
    for (;;) {
      const row = (b.index[at] as number) - 1;
      if (row < 0 || b.rows.compare(key, 0, KEY_BYTES, row * CLAIM_RECORD, row * CLAIM_RECORD + KEY_BYTES) === 0)
        return at;
      at = (at + 1) & mask;
    }
  }

  private rowOf(b: Bucket, key: Buffer): Buffer | null {
    const row = (b.index[this.slotOf(b, key)] as number) - 1;
    return row < 0 ? null : b.rows.subarray(row * CLAIM_RECORD, (row + 1) * CLAIM_RECORD);
  }

  private grow(b: Bucket): void {
    const rows = Buffer.alloc(b.rows.length * 2);
    b.rows.copy(rows);
    b.rows = rows;
    b.index = new Int32Array(b.index.length * 2);
    for (let i = 0; i < b.count; i += 1)
      b.index[this.slotOf(b, rows.subarray(i * CLAIM_RECORD, i * CLAIM_RECORD + KEY_BYTES))] = i + 1;
  }

  private insert(record: Buffer, uptime: number): void {
    const b = this.bucketOf(hourOf(record), uptime);
    if ((b.count + 1) * CLAIM_RECORD > b.rows.length) this.grow(b);
    b.index[this.slotOf(b, record)] = b.count + 1;
    record.copy(b.rows, b.count * CLAIM_RECORD);
    b.count += 1;
    b.lastAt = Math.max(b.lastAt, uptime);
    this.claimCount += 1;
  }

  private find(key: Buffer, hour: number): Buffer | null {
    const b = this.buckets.get(hour);
    return b ? this.rowOf(b, key) : null;
  }

  claim(c: Claim, uptime: number): ClaimStep {
    const hour = Math.floor(c.born / HOUR_MS);
    if (this.currentForgotten.has(hour)) return { answer: { tag: 'tooOld' }, record: null };
    const key = digest(c.key, KEY_BYTES);
    const by = digest(c.by, BY_BYTES);
    const row = this.find(key, hour);
    if (!row && this.claimCount >= this.most) return { answer: { tag: 'full' }, record: null };
    const mine = row !== null && row.subarray(KEY_BYTES, HOUR_AT).equals(by);
    const state = row ? row[STATE_AT] : RELEASED;
    if (row && mine && state === HELD) return { answer: { tag: 'claimed' }, record: null };
    if (row && (mine || state !== RELEASED))
      return { answer: { tag: 'taken', answered: state === ANSWERED }, record: null };
    const record = recordOf(key, by, hour, HELD);
    if (row) record.copy(row);
    else this.insert(record, uptime);
    return { answer: { tag: 'claimed' }, record };
  }

  end(e: ClaimEnd, uptime: number): Buffer | null {
    const hour = Math.floor(e.born / HOUR_MS);
    if (this.currentForgotten.has(hour)) return null;
    const key = digest(e.key, KEY_BYTES);
    const by = digest(e.by, BY_BYTES);
    const row = this.find(key, hour);
    const record = recordOf(key, by, hour, e.outcome === 'answered' ? ANSWERED : RELEASED);
    if (!row) {
      if (this.claimCount >= this.most) return null;
      this.insert(record, uptime);
      return record;
    }
    if (row[STATE_AT] === ANSWERED) return null;
    const mine = row.subarray(KEY_BYTES, HOUR_AT).equals(by);
    if (e.outcome === 'released' && (!mine || row[STATE_AT] === RELEASED)) return null;
    record.copy(row);
    return record;
  }

  replay(record: Buffer, uptime: number): void {
    const hour = hourOf(record);
    if (this.currentForgotten.has(hour)) return;
    const row = this.find(record, hour);
    if (row) record.copy(row);
    else this.insert(record, uptime);
  }

  merge(records: Buffer, uptime: number): void {
    for (let at = 0; at + CLAIM_RECORD <= records.length; at += CLAIM_RECORD) {
      const record = records.subarray(at, at + CLAIM_RECORD);
      const row = this.find(record, hourOf(record));
      if (!row || record[STATE_AT] === ANSWERED || row[STATE_AT] === RELEASED) this.replay(record, uptime);
    }
  }

  forgetBefore(uptime: number): void {
    for (const b of this.buckets.values()) {
      if (b.lastAt >= uptime) continue;
      this.drop(b);
      this.currentForgotten.add([b.hour, b.hour]);
    }
  }

  private drop(b: Bucket): void {
    this.buckets.delete(b.hour);
    this.claimCount -= b.count;
  }

  addForgotten(ranges: readonly HourRange[]): void {
    for (const r of ranges) this.currentForgotten.add(r);
    for (const b of this.buckets.values()) if (this.currentForgotten.has(b.hour)) this.drop(b);
  }

  private ordered(): Bucket[] {
    return [...this.buckets.values()].sort(byHour);
  }

  page(from: number, most: number): ClaimPage {
    const fromHour = Math.floor(from / POSITIONS);
    for (const b of this.ordered()) {
      if (b.hour < fromHour) continue;
      const first = b.hour === fromHour ? from % POSITIONS : 0;
      if (first >= b.count) continue;
      const last = Math.min(b.count, first + most);
      return {
        records: Buffer.from(b.rows.subarray(first * CLAIM_RECORD, last * CLAIM_RECORD)),
        next: b.hour * POSITIONS + last,
      };
    }
    return { records: Buffer.alloc(0), next: -1 };
  }

  packed(): Buffer {
    const chunks: Buffer[] = [];
    for (const b of this.ordered()) {
      const head = Buffer.alloc(HEAD_BYTES);
      head.writeUInt32BE(b.hour, 0);
      head.writeUInt32BE(b.count, 4);
      head.writeDoubleBE(b.lastAt, 8);
      chunks.push(head, b.rows.subarray(0, b.count * CLAIM_RECORD));
    }
    return Buffer.concat(chunks);
  }

  size(): number {
    return this.claimCount;
  }

  bytes(): number {
    let n = 0;
    for (const b of this.buckets.values()) n += b.rows.length + b.index.byteLength;
    return n;
  }

  forgotten(): readonly HourRange[] {
    return this.currentForgotten.all();
  }
}

export function createClaimTable(most: number): ClaimTable {
  return new HourlyClaimTable(most);
}

function byHour(a: Bucket, b: Bucket): number {
  return a.hour - b.hour;
}

export function unpackClaims(table: ClaimTable, packed: Buffer): void {
  for (let at = 0; at + HEAD_BYTES <= packed.length;) {
    const count = packed.readUInt32BE(at + 4);
    const lastAt = packed.readDoubleBE(at + 8);
    at += HEAD_BYTES;
    for (let i = 0; i < count; i += 1, at += CLAIM_RECORD) table.replay(packed.subarray(at, at + CLAIM_RECORD), lastAt);
  }
}
