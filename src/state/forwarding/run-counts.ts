/**
 * Counts runs and bad runs over about the last `windowMs`, in two buckets of half the window. Used to detect workers
 * that respond, but with bad responses.
 */

/** Records runs and returns the recent counts. */
export interface RunCounts {
  record(now: number, isBad: boolean): void;
  bad(now: number): number;
  ran(now: number): number;
}

type Bucket = { index: number; bad: number; ran: number };

class TwoBucketRunCounts implements RunCounts {
  private readonly bucketMs: number;
  private currentBucket: Bucket = { index: 0, bad: 0, ran: 0 };
  private previousBucket: Bucket = { index: -1, bad: 0, ran: 0 };

  constructor(windowMs: number) {
    this.bucketMs = windowMs / 2;
  }

  private rotate(now: number): void {
    const index = Math.floor(now / this.bucketMs);
    if (index === this.currentBucket.index) return;
    this.previousBucket =
      index === this.currentBucket.index + 1 ? this.currentBucket : { index: index - 1, bad: 0, ran: 0 };
    this.currentBucket = { index, bad: 0, ran: 0 };
  }

  record(now: number, isBad: boolean): void {
    this.rotate(now);
    this.currentBucket.ran += 1;
    if (isBad) this.currentBucket.bad += 1;
  }

  bad(now: number): number {
    this.rotate(now);
    return this.currentBucket.bad + this.previousBucket.bad;
  }

  ran(now: number): number {
    this.rotate(now);
    return this.currentBucket.ran + this.previousBucket.ran;
  }
}

/** Creates counts without any runs. */
export function createRunCounts(windowMs: number): RunCounts {
  return new TwoBucketRunCounts(windowMs);
}
