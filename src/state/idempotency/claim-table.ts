/**
 * Claims in memory: fixed records in one bucket for each hour in which keys were made, so that a day of them fits
 * and old ones go at once.
 */
import { createHash } from 'node:crypto';
import type { Claim, ClaimAnswer, ClaimEnd } from './claim.js';
import { createHourRanges } from './hour-ranges.js';
import type { HourRange } from './hour-ranges.js';

/** The vote on a claim, and the record to write if it changed anything. */
export type ClaimStep = { readonly answer: ClaimAnswer; readonly record: Buffer | null };
/** Records of a page, and where the next one begins; -1 after the last. */
export type ClaimPage = { readonly records: Buffer; readonly next: number };

/** All claims of one controller; `uptime` is how long it has run, in milliseconds, over all its starts. */
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

/** Bytes of a record. */
export const CLAIM_RECORD = 28;
/** An hour in milliseconds. */
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

  private slotOf(bucket: Bucket, key: Buffer): number {
    const mask = bucket.index.length - 1;
    let at = key.readUInt32LE(0) & mask;
    for (;;) {
      const row = (bucket.index[at] as number) - 1;
      if (row < 0 || bucket.rows.compare(key, 0, KEY_BYTES, row * CLAIM_RECORD, row * CLAIM_RECORD + KEY_BYTES) === 0)
        return at;
      at = (at + 1) & mask;
    }
  }

  private rowOf(bucket: Bucket, key: Buffer): Buffer | null {
    const row = (bucket.index[this.slotOf(bucket, key)] as number) - 1;
    return row < 0 ? null : bucket.rows.subarray(row * CLAIM_RECORD, (row + 1) * CLAIM_RECORD);
  }

  private grow(bucket: Bucket): void {
    const rows = Buffer.alloc(bucket.rows.length * 2);
    bucket.rows.copy(rows);
    bucket.rows = rows;
    bucket.index = new Int32Array(bucket.index.length * 2);
    for (let i = 0; i < bucket.count; i += 1)
      bucket.index[this.slotOf(bucket, rows.subarray(i * CLAIM_RECORD, i * CLAIM_RECORD + KEY_BYTES))] = i + 1;
  }

  private insert(record: Buffer, uptime: number): void {
    const bucket = this.bucketOf(hourOf(record), uptime);
    if ((bucket.count + 1) * CLAIM_RECORD > bucket.rows.length) this.grow(bucket);
    bucket.index[this.slotOf(bucket, record)] = bucket.count + 1;
    record.copy(bucket.rows, bucket.count * CLAIM_RECORD);
    bucket.count += 1;
    bucket.lastAt = Math.max(bucket.lastAt, uptime);
    this.claimCount += 1;
  }

  private find(key: Buffer, hour: number): Buffer | null {
    const second = this.buckets.get(hour);
    return second ? this.rowOf(second, key) : null;
  }

  claim(claim: Claim, uptime: number): ClaimStep {
    const hour = Math.floor(claim.born / HOUR_MS);
    if (this.currentForgotten.has(hour)) return { answer: { tag: 'tooOld' }, record: null };
    const key = digest(claim.key, KEY_BYTES);
    const by = digest(claim.by, BY_BYTES);
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

  end(event: ClaimEnd, uptime: number): Buffer | null {
    const hour = Math.floor(event.born / HOUR_MS);
    if (this.currentForgotten.has(hour)) return null;
    const key = digest(event.key, KEY_BYTES);
    const by = digest(event.by, BY_BYTES);
    const row = this.find(key, hour);
    const record = recordOf(key, by, hour, event.outcome === 'answered' ? ANSWERED : RELEASED);
    if (!row) {
      if (this.claimCount >= this.most) return null;
      this.insert(record, uptime);
      return record;
    }
    if (row[STATE_AT] === ANSWERED) return null;
    const mine = row.subarray(KEY_BYTES, HOUR_AT).equals(by);
    if (event.outcome === 'released' && (!mine || row[STATE_AT] === RELEASED)) return null;
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
    for (const bucket of this.buckets.values()) {
      if (bucket.lastAt >= uptime) continue;
      this.drop(bucket);
      this.currentForgotten.add([bucket.hour, bucket.hour]);
    }
  }

  private drop(bucket: Bucket): void {
    this.buckets.delete(bucket.hour);
    this.claimCount -= bucket.count;
  }

  addForgotten(ranges: readonly HourRange[]): void {
    for (const hourRange of ranges) this.currentForgotten.add(hourRange);
    for (const bucket of this.buckets.values()) if (this.currentForgotten.has(bucket.hour)) this.drop(bucket);
  }

  private ordered(): Bucket[] {
    return [...this.buckets.values()].sort(byHour);
  }

  page(from: number, most: number): ClaimPage {
    const fromHour = Math.floor(from / POSITIONS);
    for (const bucket of this.ordered()) {
      if (bucket.hour < fromHour) continue;
      const first = bucket.hour === fromHour ? from % POSITIONS : 0;
      if (first >= bucket.count) continue;
      const last = Math.min(bucket.count, first + most);
      return {
        records: Buffer.from(bucket.rows.subarray(first * CLAIM_RECORD, last * CLAIM_RECORD)),
        next: bucket.hour * POSITIONS + last,
      };
    }
    return { records: Buffer.alloc(0), next: -1 };
  }

  packed(): Buffer {
    const chunks: Buffer[] = [];
    for (const bucket of this.ordered()) {
      const head = Buffer.alloc(HEAD_BYTES);
      head.writeUInt32BE(bucket.hour, 0);
      head.writeUInt32BE(bucket.count, 4);
      head.writeDoubleBE(bucket.lastAt, 8);
      chunks.push(head, bucket.rows.subarray(0, bucket.count * CLAIM_RECORD));
    }
    return Buffer.concat(chunks);
  }

  size(): number {
    return this.claimCount;
  }

  bytes(): number {
    let count = 0;
    for (const bucket of this.buckets.values()) count += bucket.rows.length + bucket.index.byteLength;
    return count;
  }

  forgotten(): readonly HourRange[] {
    return this.currentForgotten.all();
  }
}

/** An empty table of at most `most` claims. */
export function createClaimTable(most: number): ClaimTable {
  return new HourlyClaimTable(most);
}

function byHour(left: Bucket, right: Bucket): number {
  return left.hour - right.hour;
}

/** Puts packed claims back into a table. */
export function unpackClaims(table: ClaimTable, packed: Buffer): void {
  for (let at = 0; at + HEAD_BYTES <= packed.length;) {
    const count = packed.readUInt32BE(at + 4);
    const lastAt = packed.readDoubleBE(at + 8);
    at += HEAD_BYTES;
    for (let i = 0; i < count; i += 1, at += CLAIM_RECORD) table.replay(packed.subarray(at, at + CLAIM_RECORD), lastAt);
  }
}
