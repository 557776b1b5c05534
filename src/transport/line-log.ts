/**
 * A log without a library: plain lines on standard error. The platform's roles use it, as
 * they start from a snapshot of the process and hold little else.
 */

import { textLine } from './log-line.js';
import type { LogFields } from './log-line.js';
import type { Log, LogRoot } from './log.js';

function write(level: string, component: string, event: string, fields: LogFields = {}): void {
  process.stderr.write(textLine({ time: new Date(), level, component, event, fields }));
}

/** A log that writes each line at once. */
export function createLineLog(): LogRoot {
  function component(name: string): Log {
    return {
      info: (event, fields) => write('info', name, event, fields),
      warn: (event, fields) => write('warn', name, event, fields),
      error: (event, fields) => write('error', name, event, fields),
    };
  }
  return { component };
}
