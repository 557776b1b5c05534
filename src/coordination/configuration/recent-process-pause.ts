/** Remembers for a limited time that the process was paused. */
import { createResumeDelay } from '../../state/forwarding/resume-delay.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';

/** Tells whether this process was paused recently. */
export interface RecentProcessPause {
  isRecent(): boolean;
  stop(): void;
}

/** Interval at which the clock is checked; a longer gap between two checks reveals a process pause. */
const CHECK_INTERVAL_MS = 250;

/** Starts to watch the clock; a process pause counts as recent for `recentMs` after its end. */
export function watchProcessPauses(clock: Clock, recentMs: number): RecentProcessPause {
  const detector = createResumeDelay(recentMs);
  function isRecent(): boolean {
    return detector.observe(clock.mono()) !== null;
  }
  isRecent();
  const ticker = every(clock, CHECK_INTERVAL_MS, isRecent);
  function stop(): void {
    ticker.cancel();
  }
  return { isRecent, stop };
}
