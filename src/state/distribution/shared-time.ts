/**
 * Wall time that nodes agree on well enough to compare: the lower median of what the others
 * tell, carried on by the own monotonic clock, so that one wrong wall clock moves nobody.
 */

/** Hears others' wall clocks and tells the shared time, in Unix milliseconds. */
export interface SharedTime {
  record(from: string, wall: number, mono: number): void;
  retainOnly(names: ReadonlySet<string>): void;
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
    const sorted = [...this.offsets.values()].sort((left, right) => this.ascending(left, right));
    const middle = sorted[Math.floor((sorted.length - 1) / 2)];
    return middle === undefined ? ownWall : mono + middle;
  }
}

/** Knows nobody yet; until then the own wall clock is told. */
export function createSharedTime(): SharedTime {
  return new MedianSharedTime();
}
