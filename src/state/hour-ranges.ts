/**
 * A small set of ranges of hours, for what claims were forgotten. Ranges near each other are
 * joined, and the oldest ones when there are too many: the set may grow by that, never shrink.
 */

/** First and last hour of a range, both included. */
export type HourRange = readonly [number, number];

/** Adds ranges and tells what they cover. */
export interface HourRanges {
  has(hour: number): boolean;
  add(range: HourRange): void;
  all(): readonly HourRange[];
}

const GAP = 3;
const MOST = 500;

class MergedHourRanges implements HourRanges {
  private ranges: HourRange[] = [];

  has(hour: number): boolean {
    for (const [from, to] of this.ranges) if (hour >= from && hour <= to) return true;
    return false;
  }

  add(range: HourRange): void {
    const sorted = [...this.ranges, range].sort(byStart);
    const merged: HourRange[] = [];
    for (const r of sorted) {
      const last = merged[merged.length - 1];
      if (last && r[0] - last[1] <= GAP) merged[merged.length - 1] = [last[0], Math.max(last[1], r[1])];
      else merged.push(r);
    }
    while (merged.length > MOST) {
      const [a, b] = merged as [HourRange, HourRange];
      merged.splice(0, 2, [a[0], b[1]]);
    }
    this.ranges = merged;
  }

  all(): readonly HourRange[] {
    return this.ranges;
  }
}

/** An empty set. */
export function createHourRanges(): HourRanges {
  return new MergedHourRanges();
}

function byStart(a: HourRange, b: HourRange): number {
  return a[0] - b[0];
}
