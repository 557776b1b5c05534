/**
 * Wall time that nodes agree on well enough to compare: the lower median of what the others
 * tell, carried on by the own monotonic clock, so that one wrong wall clock moves nobody.
 */

/** Hears others' wall clocks and tells the shared time, in Unix milliseconds. */
export type SharedTime = {
  readonly hear: (from: string, wall: number, mono: number) => void;
  readonly keepOnly: (names: ReadonlySet<string>) => void;
  readonly now: (mono: number, ownWall: number) => number;
};

/** Knows nobody yet; until then the own wall clock is told. */
export function createSharedTime(): SharedTime {
  const offsets = new Map<string, number>();

  function hear(from: string, wall: number, mono: number): void {
    offsets.set(from, wall - mono);
  }
  function keepOnly(names: ReadonlySet<string>): void {
    for (const name of offsets.keys()) if (!names.has(name)) offsets.delete(name);
  }
  function ascending(a: number, b: number): number {
    return a - b;
  }
  function now(mono: number, ownWall: number): number {
    const sorted = [...offsets.values()].sort(ascending);
    const middle = sorted[Math.floor((sorted.length - 1) / 2)];
    return middle === undefined ? ownWall : mono + middle;
  }
  return { hear, keepOnly, now };
}
