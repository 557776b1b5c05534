/**
 * Counts of runs and of bad ones over about the last `spanMs`, in two half-spans. Used to
 * judge workers that answer but spoil what they answer.
 */

/** Notes runs and tells recent counts. */
export interface RunCounts {
  record(now: number, bad: boolean): void;
  bad(now: number): number;
  ran(now: number): number;
}

type Bucket = { at: number; bad: number; ran: number };

class TwoSpanRunCounts implements RunCounts {
  private readonly half: number;
  private current: Bucket = { at: 0, bad: 0, ran: 0 };
  private before: Bucket = { at: -1, bad: 0, ran: 0 };

  constructor(spanMs: number) {
    this.half = spanMs / 2;
  }

  private rotate(now: number): void {
    const at = Math.floor(now / this.half);
    if (at === this.current.at) return;
    this.before = at === this.current.at + 1 ? this.current : { at: at - 1, bad: 0, ran: 0 };
    this.current = { at, bad: 0, ran: 0 };
  }

  record(now: number, isBad: boolean): void {
    this.rotate(now);
    this.current.ran += 1;
    if (isBad) this.current.bad += 1;
  }

  bad(now: number): number {
    this.rotate(now);
    return this.current.bad + this.before.bad;
  }

  ran(now: number): number {
    this.rotate(now);
    return this.current.ran + this.before.ran;
  }
}

/** No runs yet. */
export function createRunCounts(spanMs: number): RunCounts {
  return new TwoSpanRunCounts(spanMs);
}
