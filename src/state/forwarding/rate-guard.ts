/**
 * Limits the number of requests started within a sliding window of time. Used where a cold worker accepts only a
 * limited number of requests per second.
 */

/** `hasCapacity` returns whether one more request fits, `record` counts it. */
export interface RateGuard {
  hasCapacity(now: number, max: number): boolean;
  record(now: number): void;
}

class SlidingWindowRateLimiter implements RateGuard {
  private startTimes: number[] = [];

  constructor(private readonly windowMs: number) {}

  hasCapacity(now: number, max: number): boolean {
    while (this.startTimes.length > 0 && now - (this.startTimes[0] as number) >= this.windowMs) this.startTimes.shift();
    return this.startTimes.length + 1 <= max;
  }

  record(now: number): void {
    this.startTimes.push(now);
    if (this.startTimes.length > 4_096) this.startTimes = this.startTimes.slice(-2_048);
  }
}

/** Creates a limiter for a window of `windowMs` without any requests. */
export function createRateGuard(windowMs: number): RateGuard {
  return new SlidingWindowRateLimiter(windowMs);
}
