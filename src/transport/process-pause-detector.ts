/** Detects process pauses: times in which the process was frozen or starved of processor time. */
import type { Clock } from './clock.js';

/**
 * A longer gap between two ticks on the monotonic clock is a process pause, in milliseconds. Periodic work in the
 * process runs at least every 500 ms.
 */
export const PROCESS_PAUSE_MS = 1_500;

/** Measures the time since its last tick. */
export class ProcessPauseDetector {
  private lastTickAt: number;

  constructor(private readonly clock: Clock) {
    this.lastTickAt = clock.mono();
  }

  /** Whether the time since the last tick is a process pause already; does not end it. */
  isOpen(): boolean {
    return this.gapMs() > PROCESS_PAUSE_MS;
  }

  /** Ends the gap since the last tick. Returns its length in milliseconds if it was a process pause, otherwise null. */
  tick(): number | null {
    const gap = this.gapMs();
    this.lastTickAt = this.clock.mono();
    return gap > PROCESS_PAUSE_MS ? gap : null;
  }

  private gapMs(): number {
    return this.clock.mono() - this.lastTickAt;
  }
}
