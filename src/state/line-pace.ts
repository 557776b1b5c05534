/**
 * How fast a queue moves, by when places in it lately became free. Used to tell callers early
 * that they would wait too long.
 */

/** Notes each place that became free, and expects the wait behind `ahead` others. */
export interface LinePace {
  note(now: number): void;
  expectedWaitMs(ahead: number, now: number): number | null;
}

const KEPT = 32;
const ENOUGH = 8;
const FRESH_MS = 10_000;

class RecentLinePace implements LinePace {
  private seats: number[] = [];

  note(now: number): void {
    this.seats.push(now);
    if (this.seats.length > KEPT) this.seats = this.seats.slice(-KEPT);
  }

  expectedWaitMs(ahead: number, now: number): number | null {
    const fresh: number[] = [];
    for (const at of this.seats) if (now - at < FRESH_MS) fresh.push(at);
    const first = fresh[0];
    if (first === undefined || fresh.length < ENOUGH) return null;
    return ((ahead + 1) * (now - first)) / (fresh.length - 1);
  }
}

/** Expects nothing (null) before eight places became free within ten seconds. */
export function createLinePace(): LinePace {
  return new RecentLinePace();
}
