/** A log on preallocated files, with snapshots. */
import { crc32 } from 'node:zlib';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Disk, DiskError, DiskFile } from './disk.js';

/** Name, number and size of a ring's files, in bytes. */
export type RingShape = {
  readonly name: string;
  readonly files: number;
  readonly fileBytes: number;
  readonly snapshotBytes: number;
};

/** Why a ring can't be opened or written. */
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
export interface Ring {
  append(records: readonly Buffer[]): Promise<Result<null, RingError>>;
  compact(snapshot: Buffer): Promise<Result<null, RingError>>;
  crowded(): boolean;
  usedFiles(): number;
}

/** A ring and what it held. */
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

/** Where the next record goes, and what the files hold. */
type RingEnd = {
  /** Number of the newest record. */
  readonly seq: number;
  /** Number of the file that is written. */
  readonly gen: number;
  /** Index of the file that is written; -1 before the first. */
  readonly file: number;
  /** Offset of the next record in it. */
  readonly at: number;
  /** Number of the oldest file that no snapshot covers. */
  readonly oldest: number;
  /** Area of the newest snapshot. */
  readonly area: number;
  /** A disk that can't be synced is read, and takes no record. */
  readonly broken: boolean;
};

type Areas = { readonly areas: readonly DiskFile[]; readonly best: Found | null };
type Replayed = { readonly records: readonly Buffer[]; readonly seq: number; readonly last: Found | null };

async function openFiles(disk: Disk, shape: RingShape): Promise<Result<DiskFile[], RingError>> {
  const files: DiskFile[] = [];
  for (let i = 0; i < shape.files; i += 1) {
    const file = await disk.preallocated(`${shape.name}-${i}`, shape.fileBytes);
    if (!file.ok) return file;
    files.push(file.value);
  }
  const older = await olderFileIn(files);
  if (!older.ok) return older;
  return older.value >= 0
    ? err({ tag: 'olderFormat', file: `${shape.name}-${older.value}`, needed: 'MIL2' })
    : ok(files);
}

function isNewer(found: Found, than: Found | null): boolean {
  return !than || found.seq > than.seq || (found.seq === than.seq && found.gen > than.gen);
}

/** Opens both areas; the newest snapshot that reads back whole is the one that counts. */
async function openAreas(disk: Disk, shape: RingShape): Promise<Result<Areas, RingError>> {
  const areas: DiskFile[] = [];
  let best: Found | null = null;
  for (let i = 0; i < 2; i += 1) {
    const file = await disk.preallocated(`${shape.name}-snapshot-${i}`, shape.snapshotBytes);
    if (!file.ok) return file;
    areas.push(file.value);
    const found = await snapshotIn(file.value, i);
    if (!found.ok) return found;
    if (found.value && isNewer(found.value, best)) best = found.value;
  }
  return ok({ areas, best });
}

/** The records that follow on the snapshot without a gap; a gap before the newest batch is damage. */
function replayed(all: readonly Found[], best: Found | null, shape: RingShape): Result<Replayed, RingError> {
  const records: Buffer[] = [];
  let seq = best ? best.seq : 0;
  let last: Found | null = null;
  for (const found of all) {
    if (found.seq === seq + 1) {
      records.push(found.payload);
      seq = found.seq;
      last = found;
    } else if (found.batchStart > seq + 1 || found.seq <= seq) {
      return err({ tag: 'ringDamaged', file: `${shape.name}-${found.file}`, at: found.at });
    }
  }
  return ok({ records, seq, last });
}

/** Cuts what a loss of power left of the newest batch, so that no later record is read behind it. */
async function cutTorn(
  files: readonly DiskFile[],
  ends: readonly number[],
  all: readonly Found[],
  { seq, last }: Replayed,
): Promise<Result<null, DiskError>> {
  for (const [i, file] of files.entries()) {
    const from = last && last.file === i ? last.next : 0;
    const torn = all.some((found) => found.file === i && found.seq > seq);
    const end = ends[i] as number;
    if ((!torn && last?.file !== i) || end <= from) continue;
    const wiped = await file.write(from, Buffer.alloc(end - from));
    if (!wiped.ok) return wiped;
    const synced = await file.sync();
    if (!synced.ok) return synced;
  }
  return ok(null);
}

/** Opens a ring and gives what it holds: the newest snapshot and all records since. */
export async function openRing(disk: Disk, shape: RingShape): Promise<Result<Opened, RingError>> {
  const opened = await openFiles(disk, shape);
  if (!opened.ok) return opened;
  const files = opened.value;
  const snapshots = await openAreas(disk, shape);
  if (!snapshots.ok) return snapshots;
  const { areas, best } = snapshots.value;
  const covers = best ? best.gen : 0;
  const ends: number[] = [];
  const all: Found[] = [];
  for (const [i, file] of files.entries()) {
    const content = await file.read();
    if (!content.ok) return content;
    all.push(...recordsIn(content.value, i, covers));
    ends.push(endOf(content.value));
  }
  all.sort(bySeq);
  const found = replayed(all, best, shape);
  if (!found.ok) return found;
  const { records, seq, last } = found.value;
  const cut = await cutTorn(files, ends, all, found.value);
  if (!cut.ok) return cut;
  const broken = !(await syncAll([...files, ...areas]));
  const ring = new FileRing(files, areas, shape, {
    seq,
    gen: last ? last.gen : covers,
    file: last ? last.file : -1,
    at: last ? last.next : shape.fileBytes,
    oldest: covers + 1,
    area: best ? best.file : 1,
    broken,
  });
  return ok({ ring, snapshot: best ? best.payload : null, records });
}

class FileRing implements Ring {
  private seq: number;
  private gen: number;
  private current: number;
  private at: number;
  private oldest: number;
  private area: number;
  private broken: boolean;

  constructor(
    private readonly files: readonly DiskFile[],
    private readonly areas: readonly DiskFile[],
    private readonly shape: RingShape,
    end: RingEnd,
  ) {
    this.seq = end.seq;
    this.gen = end.gen;
    this.current = end.file;
    this.at = end.at;
    this.oldest = end.oldest;
    this.area = end.area;
    this.broken = end.broken;
  }

  private advance(): Result<null, RingError> {
    if (this.gen + 1 - this.oldest >= this.shape.files) return err({ tag: 'ringFull' });
    this.gen += 1;
    this.current = (this.current + 1) % this.shape.files;
    this.at = 0;
    return ok(null);
  }

  async append(payloads: readonly Buffer[]): Promise<Result<null, RingError>> {
    if (this.broken) return err({ tag: 'ringBroken' });
    const touched = new Set<DiskFile>();
    let inBatch = 0;
    for (const payload of payloads) {
      const size = HEAD + payload.length;
      if (size > this.shape.fileBytes) return err({ tag: 'recordTooLarge', bytes: payload.length });
      if (this.at + size > this.shape.fileBytes) {
        const moved = this.advance();
        if (!moved.ok) return moved;
      }
      const file = this.files[this.current] as DiskFile;
      const wrote = await file.write(this.at, packed(this.gen, this.seq + 1, inBatch, payload));
      if (!wrote.ok) {
        this.broken = true;
        return wrote;
      }
      this.at += size;
      this.seq += 1;
      inBatch += 1;
      touched.add(file);
    }
    for (const file of touched) {
      const synced = await file.sync();
      if (!synced.ok) {
        this.broken = true;
        return synced;
      }
    }
    return ok(null);
  }

  // A snapshot that failed may stand on the disk all the same, so its number is never used again. One that succeeds
  // covers whatever earlier failures left in the files: the ring takes records again after it.
  async compact(snapshot: Buffer): Promise<Result<null, RingError>> {
    if (HEAD + snapshot.length > this.shape.snapshotBytes)
      return err({ tag: 'recordTooLarge', bytes: snapshot.length });
    const to = 1 - this.area;
    const file = this.areas[to] as DiskFile;
    this.seq += 1;
    const wrote = await file.write(0, packed(this.gen, this.seq, 0, snapshot));
    const synced = wrote.ok ? await file.sync() : wrote;
    if (!synced.ok) {
      this.broken = true;
      return synced;
    }
    this.broken = false;
    this.area = to;
    this.oldest = this.gen + 1;
    this.at = this.shape.fileBytes;
    return ok(null);
  }

  usedFiles(): number {
    return this.gen + 1 - this.oldest;
  }

  crowded(): boolean {
    return this.usedFiles() >= Math.max(1, this.shape.files - 1);
  }
}
