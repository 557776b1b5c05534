/**
 * A log without a logging library: plain lines on standard error. The platform's roles use it because
 * they start from a snapshot of the process and have to stay small.
 */

import { droppedLine, formatTextLine } from './log-line.js';
import type { LogFields } from './log-line.js';
import { createStderrSink } from './log-sink.js';
import type { Log, LogRoot } from './log.js';

/** Creates a log that writes each line immediately. */
export function createLineLog(): LogRoot {
  const sink = createStderrSink((count) => formatTextLine(droppedLine(count)));
  function write(level: string, component: string, event: string, fields: LogFields = {}): void {
    sink.write(formatTextLine({ time: new Date(), level, component, event, fields }));
  }
  function component(name: string): Log {
    return {
      info: (event, fields) => write('info', name, event, fields),
      warn: (event, fields) => write('warn', name, event, fields),
      error: (event, fields) => write('error', name, event, fields),
    };
  }
  return { component };
}
