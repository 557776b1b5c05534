/**
 * Estimates the waiting time in a queue from the times at which slots recently became free. Used to reject callers
 * early who would wait too long.
 */

/** Records the times at which slots became free, and estimates the wait behind `ahead` other waiters. */
export interface QueuePacer {
  record(now: number): void;
  /** Returns null if there are too few recent samples. */
  expectedWaitMs(ahead: number, now: number): number | null;
}

const MAX_SAMPLES = 32;
const MIN_SAMPLES = 8;
const SAMPLE_WINDOW_MS = 10_000;

class RecentSampleWaitEstimator implements QueuePacer {
  private freedAt: number[] = [];

  record(now: number): void {
    this.freedAt.push(now);
    if (this.freedAt.length > MAX_SAMPLES) this.freedAt = this.freedAt.slice(-MAX_SAMPLES);
  }

  expectedWaitMs(ahead: number, now: number): number | null {
    const recent: number[] = [];
    for (const freedAt of this.freedAt) if (now - freedAt < SAMPLE_WINDOW_MS) recent.push(freedAt);
    const first = recent[0];
    if (first === undefined || recent.length < MIN_SAMPLES) return null;
    return ((ahead + 1) * (now - first)) / (recent.length - 1);
  }
}

/** Creates an estimator; it returns null until eight slots have become free within ten seconds. */
export function createQueuePacer(): QueuePacer {
  return new RecentSampleWaitEstimator();
}
