/** A log without output, which loads no logging library. */
import type { Log, LogRoot } from './log-interface.js';

/** Creates a log that discards all lines. */
export function createQuietLog(): LogRoot {
  function drop(): void {}
  function component(): Log {
    return { info: drop, warn: drop, error: drop };
  }
  return { component };
}
