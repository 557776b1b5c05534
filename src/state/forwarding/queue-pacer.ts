/**
 * How fast a queue moves, by when places in it lately became free. Used to tell callers early
 * that they would wait too long.
 */

/** Notes each place that became free, and expects the wait behind `ahead` others. */
export interface QueuePacer {
  record(now: number): void;
  expectedWaitMs(ahead: number, now: number): number | null;
}

const KEPT = 32;
const ENOUGH = 8;
const FRESH_MS = 10_000;

class RecentQueuePacer implements QueuePacer {
  private freedAt: number[] = [];

  record(now: number): void {
    this.freedAt.push(now);
    if (this.freedAt.length > KEPT) this.freedAt = this.freedAt.slice(-KEPT);
  }

  expectedWaitMs(ahead: number, now: number): number | null {
    const fresh: number[] = [];
    for (const at of this.freedAt) if (now - at < FRESH_MS) fresh.push(at);
    const first = fresh[0];
    if (first === undefined || fresh.length < ENOUGH) return null;
    return ((ahead + 1) * (now - first)) / (fresh.length - 1);
  }
}

/** Expects nothing (null) before eight places became free within ten seconds. */
export function createQueuePacer(): QueuePacer {
  return new RecentQueuePacer();
}
