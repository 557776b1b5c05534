/** A durable log in a ring of preallocated files, with snapshots. */
import { crc32 } from 'node:zlib';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Disk, DiskError, DiskFile } from './disk.js';

/** Name and number of a ring's files, and their sizes in bytes. */
export type RingShape = {
  readonly name: string;
  readonly files: number;
  readonly fileBytes: number;
  readonly snapshotBytes: number;
};

/** Why a ring could not be opened or written. */
export type RingError =
  | DiskError
  | { readonly tag: 'ringDamaged'; readonly file: string; readonly at: number }
  | { readonly tag: 'olderFormat'; readonly file: string; readonly needed: 'MIL2' }
  | { readonly tag: 'ringFull' }
  | { readonly tag: 'ringBroken' }
  | { readonly tag: 'recordTooLarge'; readonly bytes: number };

/**
 * A fixed number of preallocated files with checksummed records, and two preallocated areas for
 * snapshots, which are written alternately. No acknowledged write is lost on a loss of power,
 * and nothing is read back that was not written. Invariants:
 *
 * - Records and snapshots share one sequence of numbers without gaps. A snapshot has a sequence number of its
 *   own, so if it is unreadable, the records after it can't be mistaken for successors of the records before it.
 * - Each time writing moves on to a file, the file gets the next epoch number. A snapshot covers all epochs
 *   up to its own; a file is overwritten only once a synced snapshot covers its contents.
 * - While a snapshot is written, the other area holds the previous one, and all files written since are untouched,
 *   so a torn snapshot loses nothing.
 * - Only the newest batch can be torn. It is truncated on opening; a gap anywhere else is damage (`ringDamaged`).
 * - After a write or a sync that failed, the contents of the files are unknown. No record is accepted until a complete
 *   snapshot, which covers them, has been written and synced, or the ring is opened again.
 */
export interface Ring {
  append(records: readonly Buffer[]): Promise<Result<null, RingError>>;
  compact(snapshot: Buffer): Promise<Result<null, RingError>>;
  isNearlyFull(): boolean;
  usedFiles(): number;
}

/** An opened ring and its contents. */
export type OpenedRing = { readonly ring: Ring; readonly snapshot: Buffer | null; readonly records: readonly Buffer[] };

/** First bytes of each record: "MIL2". The digit is the version of the contents of records and snapshots. */
const MAGIC = 0x4d494c32;
/** First bytes of the records of version 1 ("MILL"), whose fields had other names. */
const OLDER_MAGIC = 0x4d494c4c;
const HEADER_BYTES = 28;
const MAGIC_BYTES = Buffer.from('MIL2');

type StoredRecord = {
  readonly file: number;
  readonly offset: number;
  readonly next: number;
  readonly epoch: number;
  readonly seq: number;
  readonly batchStart: number;
  readonly payload: Buffer;
};

function encodeRecord(epoch: number, seq: number, indexInBatch: number, payload: Buffer): Buffer {
  const buf = Buffer.alloc(HEADER_BYTES + payload.length);
  buf.writeUInt32BE(MAGIC, 0);
  buf.writeUInt32BE(payload.length, 4);
  buf.writeUIntBE(epoch, 8, 6);
  buf.writeUIntBE(seq, 14, 6);
  buf.writeUInt32BE(indexInBatch, 20);
  payload.copy(buf, HEADER_BYTES);
  buf.writeUInt32BE(crc32(payload, crc32(buf.subarray(4, 24))), 24);
  return buf;
}

function decodeRecord(buf: Buffer, file: number, offset: number): StoredRecord | null {
  if (offset + HEADER_BYTES > buf.length || buf.readUInt32BE(offset) !== MAGIC) return null;
  const next = offset + HEADER_BYTES + buf.readUInt32BE(offset + 4);
  if (next > buf.length) return null;
  const payload = buf.subarray(offset + HEADER_BYTES, next);
  if (crc32(payload, crc32(buf.subarray(offset + 4, offset + 24))) !== buf.readUInt32BE(offset + 24)) return null;
  const seq = buf.readUIntBE(offset + 14, 6);
  return {
    file,
    offset,
    next,
    epoch: buf.readUIntBE(offset + 8, 6),
    seq,
    batchStart: seq - buf.readUInt32BE(offset + 20),
    payload: Buffer.from(payload),
  };
}

function scanRecords(buf: Buffer, file: number, coveredEpoch: number): StoredRecord[] {
  const records: StoredRecord[] = [];
  let offset = 0;
  for (;;) {
    const record = decodeRecord(buf, file, offset);
    if (record) {
      if (record.epoch > coveredEpoch) records.push(record);
      offset = record.next;
      continue;
    }
    offset = buf.indexOf(MAGIC_BYTES, offset + 1);
    if (offset < 0) return records;
  }
}

async function readSnapshot(file: DiskFile, area: number): Promise<Result<StoredRecord | null, DiskError>> {
  const head = await file.read(HEADER_BYTES);
  if (!head.ok) return head;
  if (head.value.length < HEADER_BYTES || head.value.readUInt32BE(0) !== MAGIC) return ok(null);
  const snapshot = await file.read(HEADER_BYTES + head.value.readUInt32BE(4));
  return snapshot.ok ? ok(decodeRecord(snapshot.value, area, 0)) : snapshot;
}

const ZEROS = Buffer.alloc(4_096);

function endOfData(buf: Buffer): number {
  let end = buf.length;
  for (;;) {
    const from = Math.max(0, end - ZEROS.length);
    if (end === 0 || buf.compare(ZEROS, 0, end - from, from, end) !== 0) break;
    end = from;
  }
  while (end > 0 && buf[end - 1] === 0) end -= 1;
  return end;
}

function bySeq(left: StoredRecord, right: StoredRecord): number {
  return left.seq - right.seq;
}

/**
 * Makes durable what was read. A process that was killed leaves writes that it
 * had not synced. They read back completely, but a loss of power would still lose
 * them and keep records that are written after them: a gap in the sequence.
 */
async function syncAll(files: readonly DiskFile[]): Promise<boolean> {
  const syncs: Promise<Result<null, DiskError>>[] = [];
  for (const file of files) syncs.push(file.sync());
  for (const synced of await Promise.all(syncs)) if (!synced.ok) return false;
  return true;
}

function isOlderFormat(buf: Buffer): boolean {
  return buf.length >= 4 && buf.readUInt32BE(0) === OLDER_MAGIC;
}

async function findOlderFile(files: readonly DiskFile[]): Promise<Result<number, DiskError>> {
  for (const [i, file] of files.entries()) {
    const head = await file.read(4);
    if (!head.ok) return head;
    if (isOlderFormat(head.value)) return ok(i);
  }
  return ok(-1);
}

const CLEAR_CHUNK_BYTES = 1_048_576;

async function clearFile(disk: Disk, name: string, bytes: number): Promise<Result<null, DiskError>> {
  const opened = await disk.openPreallocated(name, bytes);
  if (!opened.ok) return opened;
  for (let offset = 0; offset < bytes; offset += CLEAR_CHUNK_BYTES) {
    const written = await opened.value.write(offset, Buffer.alloc(Math.min(CLEAR_CHUNK_BYTES, bytes - offset)));
    if (!written.ok) return written;
  }
  return opened.value.sync();
}

/**
 * Clears a ring that is not open, so that it is empty when it is opened next. The caller discards all records and
 * snapshots that the ring has acknowledged. Files are cleared before snapshots: a ring that is cleared only in part is
 * damaged or in an earlier state.
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

/** The position of the next record, and the state of the files. */
type RingPosition = {
  /** Sequence number of the newest record. */
  readonly seq: number;
  /** Epoch of the file that is written. */
  readonly epoch: number;
  /** Index of the file that is written; -1 if none has been written. */
  readonly file: number;
  /** Offset of the next record in that file. */
  readonly offset: number;
  /** Epoch of the oldest file that no snapshot covers. */
  readonly oldestEpoch: number;
  /** Index of the area with the newest snapshot. */
  readonly area: number;
  /** Whether records are rejected: if the files can't be synced on opening, the ring can only be read. */
  readonly isBroken: boolean;
};

type SnapshotAreas = { readonly areas: readonly DiskFile[]; readonly newest: StoredRecord | null };
type Replayed = { readonly records: readonly Buffer[]; readonly seq: number; readonly last: StoredRecord | null };

async function openFiles(disk: Disk, shape: RingShape): Promise<Result<DiskFile[], RingError>> {
  const files: DiskFile[] = [];
  for (let i = 0; i < shape.files; i += 1) {
    const file = await disk.openPreallocated(`${shape.name}-${i}`, shape.fileBytes);
    if (!file.ok) return file;
    files.push(file.value);
  }
  const older = await findOlderFile(files);
  if (!older.ok) return older;
  return older.value >= 0
    ? err({ tag: 'olderFormat', file: `${shape.name}-${older.value}`, needed: 'MIL2' })
    : ok(files);
}

function isNewer(found: StoredRecord, other: StoredRecord | null): boolean {
  return !other || found.seq > other.seq || (found.seq === other.seq && found.epoch > other.epoch);
}

/** Opens both areas and reads the newest snapshot that is complete. */
async function openAreas(disk: Disk, shape: RingShape): Promise<Result<SnapshotAreas, RingError>> {
  const areas: DiskFile[] = [];
  let newest: StoredRecord | null = null;
  for (let i = 0; i < 2; i += 1) {
    const file = await disk.openPreallocated(`${shape.name}-snapshot-${i}`, shape.snapshotBytes);
    if (!file.ok) return file;
    areas.push(file.value);
    const found = await readSnapshot(file.value, i);
    if (!found.ok) return found;
    if (found.value && isNewer(found.value, newest)) newest = found.value;
  }
  return ok({ areas, newest });
}

/** Returns the records that follow the snapshot without a gap; a gap before the newest batch is damage. */
function replay(
  all: readonly StoredRecord[],
  snapshot: StoredRecord | null,
  shape: RingShape,
): Result<Replayed, RingError> {
  const records: Buffer[] = [];
  let seq = snapshot ? snapshot.seq : 0;
  let last: StoredRecord | null = null;
  for (const found of all) {
    if (found.seq === seq + 1) {
      records.push(found.payload);
      seq = found.seq;
      last = found;
    } else if (found.batchStart > seq + 1 || found.seq <= seq) {
      return err({ tag: 'ringDamaged', file: `${shape.name}-${found.file}`, at: found.offset });
    }
  }
  return ok({ records, seq, last });
}

/** Erases what a loss of power left of the newest batch, so that it is never read together with later records. */
async function truncateTornBatch(
  files: readonly DiskFile[],
  dataEnds: readonly number[],
  all: readonly StoredRecord[],
  { seq, last }: Replayed,
): Promise<Result<null, DiskError>> {
  for (const [i, file] of files.entries()) {
    const from = last && last.file === i ? last.next : 0;
    const isTorn = all.some((found) => found.file === i && found.seq > seq);
    const end = dataEnds[i] as number;
    if ((!isTorn && last?.file !== i) || end <= from) continue;
    const wiped = await file.write(from, Buffer.alloc(end - from));
    if (!wiped.ok) return wiped;
    const synced = await file.sync();
    if (!synced.ok) return synced;
  }
  return ok(null);
}

/** Opens a ring and returns its contents: the newest snapshot and all records since. */
export async function openRing(disk: Disk, shape: RingShape): Promise<Result<OpenedRing, RingError>> {
  const opened = await openFiles(disk, shape);
  if (!opened.ok) return opened;
  const files = opened.value;
  const snapshots = await openAreas(disk, shape);
  if (!snapshots.ok) return snapshots;
  const { areas, newest } = snapshots.value;
  const coveredEpoch = newest ? newest.epoch : 0;
  const dataEnds: number[] = [];
  const all: StoredRecord[] = [];
  for (const [i, file] of files.entries()) {
    const content = await file.read();
    if (!content.ok) return content;
    all.push(...scanRecords(content.value, i, coveredEpoch));
    dataEnds.push(endOfData(content.value));
  }
  all.sort(bySeq);
  const replayed = replay(all, newest, shape);
  if (!replayed.ok) return replayed;
  const { records, seq, last } = replayed.value;
  const truncated = await truncateTornBatch(files, dataEnds, all, replayed.value);
  if (!truncated.ok) return truncated;
  const isBroken = !(await syncAll([...files, ...areas]));
  const ring = new FileRing(files, areas, shape, {
    seq,
    epoch: last ? last.epoch : coveredEpoch,
    file: last ? last.file : -1,
    offset: last ? last.next : shape.fileBytes,
    oldestEpoch: coveredEpoch + 1,
    area: newest ? newest.file : 1,
    isBroken,
  });
  return ok({ ring, snapshot: newest ? newest.payload : null, records });
}

class FileRing implements Ring {
  private seq: number;
  private epoch: number;
  private currentFile: number;
  private offset: number;
  private oldestEpoch: number;
  private area: number;
  private isBroken: boolean;

  constructor(
    private readonly files: readonly DiskFile[],
    private readonly areas: readonly DiskFile[],
    private readonly shape: RingShape,
    position: RingPosition,
  ) {
    this.seq = position.seq;
    this.epoch = position.epoch;
    this.currentFile = position.file;
    this.offset = position.offset;
    this.oldestEpoch = position.oldestEpoch;
    this.area = position.area;
    this.isBroken = position.isBroken;
  }

  private beginNextFile(): Result<null, RingError> {
    if (this.epoch + 1 - this.oldestEpoch >= this.shape.files) return err({ tag: 'ringFull' });
    this.epoch += 1;
    this.currentFile = (this.currentFile + 1) % this.shape.files;
    this.offset = 0;
    return ok(null);
  }

  async append(payloads: readonly Buffer[]): Promise<Result<null, RingError>> {
    if (this.isBroken) return err({ tag: 'ringBroken' });
    const writtenFiles = new Set<DiskFile>();
    let indexInBatch = 0;
    for (const payload of payloads) {
      const size = HEADER_BYTES + payload.length;
      if (size > this.shape.fileBytes) return err({ tag: 'recordTooLarge', bytes: payload.length });
      if (this.offset + size > this.shape.fileBytes) {
        const begun = this.beginNextFile();
        if (!begun.ok) return begun;
      }
      const file = this.files[this.currentFile] as DiskFile;
      const written = await file.write(this.offset, encodeRecord(this.epoch, this.seq + 1, indexInBatch, payload));
      if (!written.ok) {
        this.isBroken = true;
        return written;
      }
      this.offset += size;
      this.seq += 1;
      indexInBatch += 1;
      writtenFiles.add(file);
    }
    for (const file of writtenFiles) {
      const synced = await file.sync();
      if (!synced.ok) {
        this.isBroken = true;
        return synced;
      }
    }
    return ok(null);
  }

  // A snapshot whose write failed may still be on the disk, so its sequence number is never reused. A snapshot that
  // succeeds covers whatever earlier failures left in the files, so the ring accepts records again after it.
  async compact(snapshot: Buffer): Promise<Result<null, RingError>> {
    if (HEADER_BYTES + snapshot.length > this.shape.snapshotBytes)
      return err({ tag: 'recordTooLarge', bytes: snapshot.length });
    const targetArea = 1 - this.area;
    const file = this.areas[targetArea] as DiskFile;
    this.seq += 1;
    const written = await file.write(0, encodeRecord(this.epoch, this.seq, 0, snapshot));
    const synced = written.ok ? await file.sync() : written;
    if (!synced.ok) {
      this.isBroken = true;
      return synced;
    }
    this.isBroken = false;
    this.area = targetArea;
    this.oldestEpoch = this.epoch + 1;
    this.offset = this.shape.fileBytes;
    return ok(null);
  }

  usedFiles(): number {
    return this.epoch + 1 - this.oldestEpoch;
  }

  isNearlyFull(): boolean {
    return this.usedFiles() >= Math.max(1, this.shape.files - 1);
  }
}
