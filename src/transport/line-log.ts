/**
 * A log without a library: plain lines on standard error. The platform's roles use it, as
 * they start from a snapshot of the process and hold little else.
 */

import type { Log, LogRoot } from './log.js';

/** A log that writes each line at once. */
export function createLineLog(): LogRoot {
  function part(prefix: string): Log {
    function line(level: string, text: string): void {
      process.stderr.write(`${new Date().toISOString()} ${level} [${prefix}] ${text}\n`);
    }
    function info(text: string): void {
      line('info ', text);
    }
    function warn(text: string): void {
      line('warn ', text);
    }
    function error(text: string): void {
      line('error', text);
    }
    return { info, warn, error };
  }
  return { part };
}
