/**
 * Collects bytes that arrive in pieces of any size. Small pieces are copied together, so that what is held depends on the
 * number of bytes alone: a piece that is kept as it arrived costs some hundred bytes of heap, however short it is.
 */

const MIN_SEGMENT_BYTES = 512;
const MAX_SEGMENT_BYTES = 65_536;

/** Bytes that were collected so far. */
export class ByteAccumulator {
  private readonly segments: Buffer[] = [];
  /** Bytes of the last segment that are in use. */
  private usedOfLast = 0;
  private bytes = 0;
  private capacity = 0;

  /** The number of bytes collected. */
  get length(): number {
    return this.bytes;
  }

  /** The number of bytes allocated for them: at most twice `length`, and one small segment. */
  get heldBytes(): number {
    return this.capacity;
  }

  /** The number of buffers that hold them. */
  get segmentCount(): number {
    return this.segments.length;
  }

  append(piece: Buffer): void {
    let offset = 0;
    while (offset < piece.length) {
      const segment = this.segmentWithRoom(piece.length - offset);
      const copied = piece.copy(segment, this.usedOfLast, offset);
      this.usedOfLast += copied;
      offset += copied;
    }
    this.bytes += piece.length;
  }

  /** Returns all bytes as one buffer and forgets them. */
  take(): Buffer {
    const last = this.segments.pop();
    if (last === undefined) return Buffer.alloc(0);
    const parts = [...this.segments, last.subarray(0, this.usedOfLast)];
    const whole = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts, this.bytes);
    this.clear();
    return whole;
  }

  /** Forgets all bytes. */
  clear(): void {
    this.segments.length = 0;
    this.usedOfLast = 0;
    this.bytes = 0;
    this.capacity = 0;
  }

  private segmentWithRoom(wanted: number): Buffer {
    const last = this.segments.at(-1);
    if (last !== undefined && this.usedOfLast < last.length) return last;
    const size = Math.min(MAX_SEGMENT_BYTES, Math.max(MIN_SEGMENT_BYTES, wanted, this.bytes));
    const segment = Buffer.allocUnsafeSlow(size);
    this.segments.push(segment);
    this.capacity += size;
    this.usedOfLast = 0;
    return segment;
  }
}
