/**
 * A small set of hour ranges that records which claims were forgotten. Ranges close to each other are merged, and so
 * are the oldest two whenever there are too many. Merging may add hours to the set but never removes any.
 */

/** First and last hour of a range, both included. */
export type HourRange = readonly [number, number];

/** A set of hours, stored as ranges. */
export interface HourRanges {
  has(hour: number): boolean;
  add(range: HourRange): void;
  all(): readonly HourRange[];
}

const MAX_GAP_HOURS = 3;
const MAX_RANGES = 500;

class MergedHourRanges implements HourRanges {
  private ranges: HourRange[] = [];

  has(hour: number): boolean {
    for (const [from, to] of this.ranges) if (hour >= from && hour <= to) return true;
    return false;
  }

  add(range: HourRange): void {
    const sorted = [...this.ranges, range].sort(compareStarts);
    const merged: HourRange[] = [];
    for (const next of sorted) {
      const last = merged[merged.length - 1];
      if (last && next[0] - last[1] <= MAX_GAP_HOURS) merged[merged.length - 1] = [last[0], Math.max(last[1], next[1])];
      else merged.push(next);
    }
    while (merged.length > MAX_RANGES) {
      const [first, second] = merged as [HourRange, HourRange];
      merged.splice(0, 2, [first[0], second[1]]);
    }
    this.ranges = merged;
  }

  all(): readonly HourRange[] {
    return this.ranges;
  }
}

/** Creates an empty set. */
export function createHourRanges(): HourRanges {
  return new MergedHourRanges();
}

function compareStarts(left: HourRange, right: HourRange): number {
  return left[0] - right[0];
}
