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
    for (const hourRange of sorted) {
      const last = merged[merged.length - 1];
      if (last && hourRange[0] - last[1] <= GAP) merged[merged.length - 1] = [last[0], Math.max(last[1], hourRange[1])];
      else merged.push(hourRange);
    }
    while (merged.length > MOST) {
      const [hourRange, second] = merged as [HourRange, HourRange];
      merged.splice(0, 2, [hourRange[0], second[1]]);
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

function byStart(left: HourRange, right: HourRange): number {
  return left[0] - right[0];
}
