/**
 * Bounds how many starts a sliding window of time may hold. Used where a cold worker takes only
 * so many requests a second.
 */

/** `room` asks whether one more fits, `take` counts it. */
export interface RateGuard {
  hasCapacity(now: number, most: number): boolean;
  record(now: number): void;
}

class SlidingRateGuard implements RateGuard {
  private at: number[] = [];

  constructor(private readonly windowMs: number) {}

  hasCapacity(now: number, most: number): boolean {
    while (this.at.length > 0 && now - (this.at[0] as number) >= this.windowMs) this.at.shift();
    return this.at.length + 1 <= most;
  }

  record(now: number): void {
    this.at.push(now);
    if (this.at.length > 4_096) this.at = this.at.slice(-2_048);
  }
}

/** A window of `windowMs` without starts. */
export function createRateGuard(windowMs: number): RateGuard {
  return new SlidingRateGuard(windowMs);
}
