/** Detects that the process did not run for a while: frozen, or starved of processor time. */
import type { Clock } from './clock.js';

/** A longer gap on the monotonic clock is a standstill, in milliseconds; what runs here runs at least each 500 ms. */
export const STANDSTILL_MS = 1_500;

/** Measures the gap since it was last called. */
export class StandstillDetector {
  private lastTickAt: number;

  constructor(private readonly clock: Clock) {
    this.lastTickAt = clock.mono();
  }

  /** Whether the gap so far is a standstill; the gap goes on. */
  isOpen(): boolean {
    return this.gapMs() > STANDSTILL_MS;
  }

  /** Ends the gap. Its length in milliseconds if it was a standstill, else null. */
  tick(): number | null {
    const gap = this.gapMs();
    this.lastTickAt = this.clock.mono();
    return gap > STANDSTILL_MS ? gap : null;
  }

  private gapMs(): number {
    return this.clock.mono() - this.lastTickAt;
  }
}
