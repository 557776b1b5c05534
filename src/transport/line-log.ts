/**
 * A log without a library: plain lines on standard error. The platform's roles use it, as
 * they start from a snapshot of the process and hold little else.
 */

import type { Log, LogRoot } from './log.js';

/** A log that writes each line at once. */
export function createLineLog(): LogRoot {
  function component(prefix: string): Log {
    function queue(level: string, text: string): void {
      process.stderr.write(`${new Date().toISOString()} ${level} [${prefix}] ${text}\n`);
    }
    function info(text: string): void {
      queue('info ', text);
    }
    function warn(text: string): void {
      queue('warn ', text);
    }
    function error(text: string): void {
      queue('error', text);
    }
    return { info, warn, error };
  }
  return { component };
}
