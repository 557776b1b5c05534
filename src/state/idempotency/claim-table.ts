/**
 * In-memory table of claims. Claims are fixed-size records in one bucket per hour in which their keys were created, so
 * that the claims of a day fit into memory and old claims are dropped a whole hour at a time.
 */
import { createHash } from 'node:crypto';
import type { Claim, ClaimAnswer, ClaimEnd } from './claim.js';
import { createHourRanges } from './hour-ranges.js';
import type { HourRange } from './hour-ranges.js';

/** The vote on a claim, and the record to write to disk; null if the table did not change. */
export type ClaimVote = { readonly answer: ClaimAnswer; readonly record: Buffer | null };
/** The records of a page, and the position at which the next page starts; -1 after the last page. */
export type ClaimPage = { readonly records: Buffer; readonly next: number };

/** All claims of one controller. `uptime` is how long the controller has run over all its starts, in milliseconds. */
export interface ClaimTable {
  claim(claim: Claim, uptime: number): ClaimVote;
  /** Records the end of an attempt. Returns the record to write to disk; null if the table did not change. */
  end(end: ClaimEnd, uptime: number): Buffer | null;
  /** Applies a record read from the own disk, which replaces an earlier record of the same key. */
  replay(record: Buffer, uptime: number): void;
  /** Merges records of another controller. `answered` replaces any state; other states replace only `released`. */
  merge(records: Buffer, uptime: number): void;
  /** Drops the hours whose last new claim was added before `uptime`, and records them as forgotten. */
  forgetBefore(uptime: number): void;
  /** Marks hours as forgotten and drops their claims. */
  addForgotten(ranges: readonly HourRange[]): void;
  forgotten(): readonly HourRange[];
  size(): number;
  bytes(): number;
  /** Returns up to `maxRecords` records from a position on; 0 is the position of the first page. */
  page(from: number, maxRecords: number): ClaimPage;
  /** Serializes all buckets for a snapshot. */
  packed(): Buffer;
}

/** Size of a claim record in bytes: key hash, attempt hash, hour and state. */
export const CLAIM_RECORD_BYTES = 28;
/** One hour in milliseconds. */
export const HOUR_MS = 3_600_000;
const KEY_BYTES = 16;
const ATTEMPT_BYTES = 8;
const HOUR_OFFSET = KEY_BYTES + ATTEMPT_BYTES;
const STATE_OFFSET = HOUR_OFFSET + 3;
const BUCKET_HEADER_BYTES = 16;
/** The position of a page is the hour of its bucket times this number, plus the row in the bucket. */
const CURSOR_ROWS_PER_HOUR = 2 ** 24;
const INITIAL_BUCKET_ROWS = 64;
const HELD = 0;
const ANSWERED = 1;
const RELEASED = 2;

type Bucket = { readonly hour: number; rows: Buffer; index: Int32Array; count: number; lastInsertUptime: number };

function digest(text: string, bytes: number): Buffer {
  return createHash('sha256').update(text).digest().subarray(0, bytes);
}

function encodeRecord(key: Buffer, attempt: Buffer, hour: number, state: number): Buffer {
  const record = Buffer.alloc(CLAIM_RECORD_BYTES);
  key.copy(record, 0);
  attempt.copy(record, KEY_BYTES);
  record.writeUIntBE(hour, HOUR_OFFSET, 3);
  record[STATE_OFFSET] = state;
  return record;
}

function hourOf(record: Buffer): number {
  return record.readUIntBE(HOUR_OFFSET, 3);
}

class HourlyClaimTable implements ClaimTable {
  private readonly buckets = new Map<number, Bucket>();
  private readonly forgottenHours = createHourRanges();
  private claimCount = 0;

  constructor(private readonly maxClaims: number) {}

  private getOrCreateBucket(hour: number, uptime: number): Bucket {
    const existing = this.buckets.get(hour);
    if (existing) return existing;
    const created: Bucket = {
      hour,
      rows: Buffer.alloc(INITIAL_BUCKET_ROWS * CLAIM_RECORD_BYTES),
      index: new Int32Array(2 * INITIAL_BUCKET_ROWS),
      count: 0,
      lastInsertUptime: uptime,
    };
    this.buckets.set(hour, created);
    return created;
  }

  private findIndexSlot(bucket: Bucket, key: Buffer): number {
    const mask = bucket.index.length - 1;
    let slot = key.readUInt32LE(0) & mask;
    for (;;) {
      const row = (bucket.index[slot] as number) - 1;
      if (
        row < 0 ||
        bucket.rows.compare(key, 0, KEY_BYTES, row * CLAIM_RECORD_BYTES, row * CLAIM_RECORD_BYTES + KEY_BYTES) === 0
      )
        return slot;
      slot = (slot + 1) & mask;
    }
  }

  private findRow(bucket: Bucket, key: Buffer): Buffer | null {
    const row = (bucket.index[this.findIndexSlot(bucket, key)] as number) - 1;
    return row < 0 ? null : bucket.rows.subarray(row * CLAIM_RECORD_BYTES, (row + 1) * CLAIM_RECORD_BYTES);
  }

  private grow(bucket: Bucket): void {
    const rows = Buffer.alloc(bucket.rows.length * 2);
    bucket.rows.copy(rows);
    bucket.rows = rows;
    bucket.index = new Int32Array(bucket.index.length * 2);
    for (let i = 0; i < bucket.count; i += 1)
      bucket.index[
        this.findIndexSlot(bucket, rows.subarray(i * CLAIM_RECORD_BYTES, i * CLAIM_RECORD_BYTES + KEY_BYTES))
      ] = i + 1;
  }

  private insert(record: Buffer, uptime: number): void {
    const bucket = this.getOrCreateBucket(hourOf(record), uptime);
    if ((bucket.count + 1) * CLAIM_RECORD_BYTES > bucket.rows.length) this.grow(bucket);
    bucket.index[this.findIndexSlot(bucket, record)] = bucket.count + 1;
    record.copy(bucket.rows, bucket.count * CLAIM_RECORD_BYTES);
    bucket.count += 1;
    bucket.lastInsertUptime = Math.max(bucket.lastInsertUptime, uptime);
    this.claimCount += 1;
  }

  private find(key: Buffer, hour: number): Buffer | null {
    const bucket = this.buckets.get(hour);
    return bucket ? this.findRow(bucket, key) : null;
  }

  claim(claim: Claim, uptime: number): ClaimVote {
    const hour = Math.floor(claim.born / HOUR_MS);
    if (this.forgottenHours.has(hour)) return { answer: { tag: 'tooOld' }, record: null };
    const key = digest(claim.key, KEY_BYTES);
    const attempt = digest(claim.by, ATTEMPT_BYTES);
    const row = this.find(key, hour);
    if (!row && this.claimCount >= this.maxClaims) return { answer: { tag: 'full' }, record: null };
    const isSameAttempt = row !== null && row.subarray(KEY_BYTES, HOUR_OFFSET).equals(attempt);
    const state = row ? row[STATE_OFFSET] : RELEASED;
    if (row && isSameAttempt && state === HELD) return { answer: { tag: 'claimed' }, record: null };
    if (row && (isSameAttempt || state !== RELEASED))
      return { answer: { tag: 'taken', answered: state === ANSWERED }, record: null };
    const record = encodeRecord(key, attempt, hour, HELD);
    if (row) record.copy(row);
    else this.insert(record, uptime);
    return { answer: { tag: 'claimed' }, record };
  }

  end(claimEnd: ClaimEnd, uptime: number): Buffer | null {
    const hour = Math.floor(claimEnd.born / HOUR_MS);
    if (this.forgottenHours.has(hour)) return null;
    const key = digest(claimEnd.key, KEY_BYTES);
    const attempt = digest(claimEnd.by, ATTEMPT_BYTES);
    const row = this.find(key, hour);
    const record = encodeRecord(key, attempt, hour, claimEnd.outcome === 'answered' ? ANSWERED : RELEASED);
    if (!row) {
      if (this.claimCount >= this.maxClaims) return null;
      this.insert(record, uptime);
      return record;
    }
    if (row[STATE_OFFSET] === ANSWERED) return null;
    const isSameAttempt = row.subarray(KEY_BYTES, HOUR_OFFSET).equals(attempt);
    if (claimEnd.outcome === 'released' && (!isSameAttempt || row[STATE_OFFSET] === RELEASED)) return null;
    record.copy(row);
    return record;
  }

  replay(record: Buffer, uptime: number): void {
    const hour = hourOf(record);
    if (this.forgottenHours.has(hour)) return;
    const row = this.find(record, hour);
    if (row) record.copy(row);
    else this.insert(record, uptime);
  }

  merge(records: Buffer, uptime: number): void {
    for (let offset = 0; offset + CLAIM_RECORD_BYTES <= records.length; offset += CLAIM_RECORD_BYTES) {
      const record = records.subarray(offset, offset + CLAIM_RECORD_BYTES);
      const row = this.find(record, hourOf(record));
      if (!row || record[STATE_OFFSET] === ANSWERED || row[STATE_OFFSET] === RELEASED) this.replay(record, uptime);
    }
  }

  forgetBefore(uptime: number): void {
    for (const bucket of this.buckets.values()) {
      if (bucket.lastInsertUptime >= uptime) continue;
      this.drop(bucket);
      this.forgottenHours.add([bucket.hour, bucket.hour]);
    }
  }

  private drop(bucket: Bucket): void {
    this.buckets.delete(bucket.hour);
    this.claimCount -= bucket.count;
  }

  addForgotten(ranges: readonly HourRange[]): void {
    for (const range of ranges) this.forgottenHours.add(range);
    for (const bucket of this.buckets.values()) if (this.forgottenHours.has(bucket.hour)) this.drop(bucket);
  }

  private sortedBuckets(): Bucket[] {
    return [...this.buckets.values()].sort(compareHours);
  }

  page(from: number, maxRecords: number): ClaimPage {
    const fromHour = Math.floor(from / CURSOR_ROWS_PER_HOUR);
    for (const bucket of this.sortedBuckets()) {
      if (bucket.hour < fromHour) continue;
      const first = bucket.hour === fromHour ? from % CURSOR_ROWS_PER_HOUR : 0;
      if (first >= bucket.count) continue;
      const last = Math.min(bucket.count, first + maxRecords);
      return {
        records: Buffer.from(bucket.rows.subarray(first * CLAIM_RECORD_BYTES, last * CLAIM_RECORD_BYTES)),
        next: bucket.hour * CURSOR_ROWS_PER_HOUR + last,
      };
    }
    return { records: Buffer.alloc(0), next: -1 };
  }

  packed(): Buffer {
    const chunks: Buffer[] = [];
    for (const bucket of this.sortedBuckets()) {
      const header = Buffer.alloc(BUCKET_HEADER_BYTES);
      header.writeUInt32BE(bucket.hour, 0);
      header.writeUInt32BE(bucket.count, 4);
      header.writeDoubleBE(bucket.lastInsertUptime, 8);
      chunks.push(header, bucket.rows.subarray(0, bucket.count * CLAIM_RECORD_BYTES));
    }
    return Buffer.concat(chunks);
  }

  size(): number {
    return this.claimCount;
  }

  bytes(): number {
    let total = 0;
    for (const bucket of this.buckets.values()) total += bucket.rows.length + bucket.index.byteLength;
    return total;
  }

  forgotten(): readonly HourRange[] {
    return this.forgottenHours.all();
  }
}

/** Creates an empty table that holds at most `maxClaims` claims. */
export function createClaimTable(maxClaims: number): ClaimTable {
  return new HourlyClaimTable(maxClaims);
}

function compareHours(left: Bucket, right: Bucket): number {
  return left.hour - right.hour;
}

/** Adds the claims that `packed` wrote to a table. */
export function unpackClaims(table: ClaimTable, packed: Buffer): void {
  for (let offset = 0; offset + BUCKET_HEADER_BYTES <= packed.length;) {
    const count = packed.readUInt32BE(offset + 4);
    const lastInsertUptime = packed.readDoubleBE(offset + 8);
    offset += BUCKET_HEADER_BYTES;
    for (let i = 0; i < count; i += 1, offset += CLAIM_RECORD_BYTES)
      table.replay(packed.subarray(offset, offset + CLAIM_RECORD_BYTES), lastInsertUptime);
  }
}
