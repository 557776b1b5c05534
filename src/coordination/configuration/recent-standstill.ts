/** Remembers for a while that the process stood still. */
import { createStandstill } from '../../state/forwarding/standstill.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';

/** Whether this process stood still a moment ago. */
export interface RecentStandstill {
  isRecent(): boolean;
  stop(): void;
}

/** So often it looks at the clock; a standstill is noticed by a longer gap. */
const LOOK_MS = 250;

/** Watches the clock from now on; a standstill is recent for `recentMs` after its end. */
export function watchStandstills(clock: Clock, recentMs: number): RecentStandstill {
  const standstill = createStandstill(recentMs);
  function isRecent(): boolean {
    return standstill.observe(clock.mono()) !== null;
  }
  isRecent();
  const looking = every(clock, LOOK_MS, isRecent);
  function stop(): void {
    looking.cancel();
  }
  return { isRecent, stop };
}
