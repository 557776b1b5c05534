import { crc32 } from 'node:zlib';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Disk, DiskError, DiskFile } from './disk.js';

export type RingShape = {
  readonly name: string;
  readonly files: number;
  readonly fileBytes: number;
  readonly snapshotBytes: number;
};

export type RingError =
  | DiskError
  | { readonly tag: 'ringDamaged'; readonly file: string; readonly at: number }
  | { readonly tag: 'olderFormat'; readonly file: string; readonly needed: 'MIL2' }
  | { readonly tag: 'ringFull' }
  | { readonly tag: 'ringBroken' }
  | { readonly tag: 'recordTooLarge'; readonly bytes: number };

/**
 * A fixed number of preallocated files with checksummed records, and two preallocated areas for
 * snapshots, which are written in turn. Nothing that was answered with success is lost with the
 * power, and nothing is read back that was not written. What holds at any moment:
 *
 * - Records and snapshots share one sequence of numbers without gaps. A snapshot takes a number of its
 *   own, so records written after it can't follow on records before it if the snapshot is unreadable.
 * - Each time a file is begun it gets the next file number (`gen`). A snapshot covers all of them up to its
 *   own; a file is begun again only once a synced snapshot covers what it holds.
 * - While a snapshot is written the other area holds the last one, and all files since are untouched: one
 *   that is torn costs nothing.
 * - Only the newest batch can be torn. It is cut on opening; a gap anywhere else is damage (`ringDamaged`).
 * - After a write or a sync that failed it is unknown what the files hold, so no record is taken until a whole
 *   snapshot was written and synced, which covers them, or the ring is opened again.
 */
export type Ring = {
  readonly append: (records: readonly Buffer[]) => Promise<Result<null, RingError>>;
  readonly compact: (snapshot: Buffer) => Promise<Result<null, RingError>>;
  readonly crowded: () => boolean;
  readonly usedFiles: () => number;
};

export type Opened = { readonly ring: Ring; readonly snapshot: Buffer | null; readonly records: readonly Buffer[] };

/** Opens each record: "MIL2". The digit is the version of what records and snapshots hold. */
const MAGIC = 0x4d494c32;
/** Opened the records of version 1 ("MILL"), whose fields had other names. */
const OLDER_MAGIC = 0x4d494c4c;
const HEAD = 28;
const MARK = Buffer.from('MIL2');

type Found = {
  readonly file: number;
  readonly at: number;
  readonly next: number;
  readonly gen: number;
  readonly seq: number;
  readonly batchStart: number;
  readonly payload: Buffer;
};

function packed(gen: number, seq: number, inBatch: number, payload: Buffer): Buffer {
  const buf = Buffer.alloc(HEAD + payload.length);
  buf.writeUInt32BE(MAGIC, 0);
  buf.writeUInt32BE(payload.length, 4);
  buf.writeUIntBE(gen, 8, 6);
  buf.writeUIntBE(seq, 14, 6);
  buf.writeUInt32BE(inBatch, 20);
  payload.copy(buf, HEAD);
  buf.writeUInt32BE(crc32(payload, crc32(buf.subarray(4, 24))), 24);
  return buf;
}

function unpacked(buf: Buffer, file: number, at: number): Found | null {
  if (at + HEAD > buf.length || buf.readUInt32BE(at) !== MAGIC) return null;
  const next = at + HEAD + buf.readUInt32BE(at + 4);
  if (next > buf.length) return null;
  const payload = buf.subarray(at + HEAD, next);
  if (crc32(payload, crc32(buf.subarray(at + 4, at + 24))) !== buf.readUInt32BE(at + 24)) return null;
  const seq = buf.readUIntBE(at + 14, 6);
  return {
    file,
    at,
    next,
    gen: buf.readUIntBE(at + 8, 6),
    seq,
    batchStart: seq - buf.readUInt32BE(at + 20),
    payload: Buffer.from(payload),
  };
}

function recordsIn(buf: Buffer, file: number, covers: number): Found[] {
  const out: Found[] = [];
  let at = 0;
  for (;;) {
    const found = unpacked(buf, file, at);
    if (found) {
      if (found.gen > covers) out.push(found);
      at = found.next;
      continue;
    }
    at = buf.indexOf(MARK, at + 1);
    if (at < 0) return out;
  }
}

async function snapshotIn(file: DiskFile, area: number): Promise<Result<Found | null, DiskError>> {
  const head = await file.read(HEAD);
  if (!head.ok) return head;
  if (head.value.length < HEAD || head.value.readUInt32BE(0) !== MAGIC) return ok(null);
  const snapshot = await file.read(HEAD + head.value.readUInt32BE(4));
  return snapshot.ok ? ok(unpacked(snapshot.value, area, 0)) : snapshot;
}

const ZEROS = Buffer.alloc(4_096);

function endOf(buf: Buffer): number {
  let end = buf.length;
  for (;;) {
    const from = Math.max(0, end - ZEROS.length);
    if (end === 0 || buf.compare(ZEROS, 0, end - from, from, end) !== 0) break;
    end = from;
  }
  while (end > 0 && buf[end - 1] === 0) end -= 1;
  return end;
}

function bySeq(left: Found, right: Found): number {
  return left.seq - right.seq;
}

/**
 * Makes durable what was read. A process that was killed leaves writes that it
 * had not synced; they read back whole, but a loss of power would still take
 * them, while records written after them stay: a gap in the sequence.
 */
async function syncAll(files: readonly DiskFile[]): Promise<boolean> {
  const syncs: Promise<Result<null, DiskError>>[] = [];
  for (const file of files) syncs.push(file.sync());
  for (const synced of await Promise.all(syncs)) if (!synced.ok) return false;
  return true;
}

function isOlder(buf: Buffer): boolean {
  return buf.length >= 4 && buf.readUInt32BE(0) === OLDER_MAGIC;
}

async function olderFileIn(files: readonly DiskFile[]): Promise<Result<number, DiskError>> {
  for (const [i, file] of files.entries()) {
    const head = await file.read(4);
    if (!head.ok) return head;
    if (isOlder(head.value)) return ok(i);
  }
  return ok(-1);
}

const CLEARED_AT_ONCE = 1_048_576;

async function clearFile(disk: Disk, name: string, bytes: number): Promise<Result<null, DiskError>> {
  const opened = await disk.preallocated(name, bytes);
  if (!opened.ok) return opened;
  for (let at = 0; at < bytes; at += CLEARED_AT_ONCE) {
    const wrote = await opened.value.write(at, Buffer.alloc(Math.min(CLEARED_AT_ONCE, bytes - at)));
    if (!wrote.ok) return wrote;
  }
  return opened.value.sync();
}

/**
 * Empties a ring that is not open, so that the next opening finds it blank. Whoever calls it gives up all that the ring
 * has answered for. The files before the snapshots: what is left of a ring cleared in part is damaged or a former state.
 */
export async function clearRing(disk: Disk, shape: RingShape): Promise<Result<null, DiskError>> {
  for (let i = 0; i < shape.files; i += 1) {
    const cleared = await clearFile(disk, `${shape.name}-${i}`, shape.fileBytes);
    if (!cleared.ok) return cleared;
  }
  for (let i = 0; i < 2; i += 1) {
    const cleared = await clearFile(disk, `${shape.name}-snapshot-${i}`, shape.snapshotBytes);
    if (!cleared.ok) return cleared;
  }
  return ok(null);
}

export async function openRing(disk: Disk, shape: RingShape): Promise<Result<Opened, RingError>> {
  const files: DiskFile[] = [];
  const areas: DiskFile[] = [];
  for (let i = 0; i < shape.files; i += 1) {
    const file = await disk.preallocated(`${shape.name}-${i}`, shape.fileBytes);
    if (!file.ok) return file;
    files.push(file.value);
  }
  const older = await olderFileIn(files);
  if (!older.ok) return older;
  if (older.value >= 0) return err({ tag: 'olderFormat', file: `${shape.name}-${older.value}`, needed: 'MIL2' });
  let best: Found | null = null;
  for (let i = 0; i < 2; i += 1) {
    const file = await disk.preallocated(`${shape.name}-snapshot-${i}`, shape.snapshotBytes);
    if (!file.ok) return file;
    areas.push(file.value);
    const found = await snapshotIn(file.value, i);
    if (!found.ok) return found;
    const candidate = found.value;
    if (candidate && (!best || candidate.seq > best.seq || (candidate.seq === best.seq && candidate.gen > best.gen)))
      best = candidate;
  }

  const covers = best ? best.gen : 0;
  const ends: number[] = [];
  const all: Found[] = [];
  for (const [i, file] of files.entries()) {
    const buf = await file.read();
    if (!buf.ok) return buf;
    all.push(...recordsIn(buf.value, i, covers));
    ends.push(endOf(buf.value));
  }
  all.sort(bySeq);
  const records: Buffer[] = [];
  let seq = best ? best.seq : 0;
  let last: Found | null = null;
  for (const rec of all) {
    if (rec.seq === seq + 1) {
      records.push(rec.payload);
      seq = rec.seq;
      last = rec;
    } else if (rec.batchStart > seq + 1 || rec.seq <= seq) {
      return err({ tag: 'ringDamaged', file: `${shape.name}-${rec.file}`, at: rec.at });
    }
  }
  let gen = last ? last.gen : covers;
  for (let i = 0; i < files.length; i += 1) {
    const from = last && last.file === i ? last.next : 0;
    let torn = false;
    for (const rec of all) if (rec.file === i && rec.seq > seq) torn = true;
    if (!torn && last?.file !== i) continue;
    const end = ends[i] as number;
    if (end <= from) continue;
    const wiped = await (files[i] as DiskFile).write(from, Buffer.alloc(end - from));
    if (!wiped.ok) return wiped;
    const synced = await (files[i] as DiskFile).sync();
    if (!synced.ok) return synced;
  }

  let current = last ? last.file : -1;
  let at = last ? last.next : shape.fileBytes;
  let oldest = covers + 1;
  let area = best ? best.file : 1;
  // A disk that can't be synced is read, and takes no record.
  let broken = !(await syncAll([...files, ...areas]));

  function advance(): Result<null, RingError> {
    if (gen + 1 - oldest >= shape.files) return err({ tag: 'ringFull' });
    gen += 1;
    current = (current + 1) % shape.files;
    at = 0;
    return ok(null);
  }

  async function append(payloads: readonly Buffer[]): Promise<Result<null, RingError>> {
    if (broken) return err({ tag: 'ringBroken' });
    const touched = new Set<DiskFile>();
    let inBatch = 0;
    for (const payload of payloads) {
      const size = HEAD + payload.length;
      if (size > shape.fileBytes) return err({ tag: 'recordTooLarge', bytes: payload.length });
      if (at + size > shape.fileBytes) {
        const moved = advance();
        if (!moved.ok) return moved;
      }
      const file = files[current] as DiskFile;
      const wrote = await file.write(at, packed(gen, seq + 1, inBatch, payload));
      if (!wrote.ok) {
        broken = true;
        return wrote;
      }
      at += size;
      seq += 1;
      inBatch += 1;
      touched.add(file);
    }
    for (const file of touched) {
      const synced = await file.sync();
      if (!synced.ok) {
        broken = true;
        return synced;
      }
    }
    return ok(null);
  }

  // A snapshot that failed may stand on the disk all the same, so its number is never used again. One that succeeds
  // covers whatever earlier failures left in the files: the ring takes records again after it.
  async function compact(snapshot: Buffer): Promise<Result<null, RingError>> {
    if (HEAD + snapshot.length > shape.snapshotBytes) return err({ tag: 'recordTooLarge', bytes: snapshot.length });
    const to = 1 - area;
    const file = areas[to] as DiskFile;
    seq += 1;
    const wrote = await file.write(0, packed(gen, seq, 0, snapshot));
    const synced = wrote.ok ? await file.sync() : wrote;
    if (!synced.ok) {
      broken = true;
      return synced;
    }
    broken = false;
    area = to;
    oldest = gen + 1;
    at = shape.fileBytes;
    return ok(null);
  }

  function usedFiles(): number {
    return gen + 1 - oldest;
  }
  function crowded(): boolean {
    return usedFiles() >= Math.max(1, shape.files - 1);
  }
  return ok({ ring: { append, compact, crowded, usedFiles }, snapshot: best ? best.payload : null, records });
}
