/**
 * A wall time that the nodes agree on closely enough to compare timestamps: the lower median of the wall clocks that
 * nodes report, advanced by the local monotonic clock, so that a single wrong wall clock does not shift it.
 */

/** Records the wall clocks of nodes and returns the shared time, in Unix milliseconds. */
export interface SharedTime {
  /** Records the wall clock of a node, received at `mono` of the local monotonic clock. */
  record(from: string, wall: number, mono: number): void;
  /** Drops the clocks of all other nodes. */
  retainOnly(names: ReadonlySet<string>): void;
  /** Returns the shared time at `mono`; `ownWall` if no clock has been recorded. */
  now(mono: number, ownWall: number): number;
}

class MedianSharedTime implements SharedTime {
  private readonly offsets = new Map<string, number>();

  record(from: string, wall: number, mono: number): void {
    this.offsets.set(from, wall - mono);
  }

  retainOnly(names: ReadonlySet<string>): void {
    for (const name of this.offsets.keys()) if (!names.has(name)) this.offsets.delete(name);
  }

  private ascending(left: number, right: number): number {
    return left - right;
  }

  now(mono: number, ownWall: number): number {
    const sortedOffsets = [...this.offsets.values()].sort((left, right) => this.ascending(left, right));
    const medianOffset = sortedOffsets[Math.floor((sortedOffsets.length - 1) / 2)];
    return medianOffset === undefined ? ownWall : mono + medianOffset;
  }
}

/** Creates a shared time without recorded clocks, which returns the local wall clock until one is recorded. */
export function createSharedTime(): SharedTime {
  return new MedianSharedTime();
}
