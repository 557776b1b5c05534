/**
 * The logging interface and its implementation with `consola`. A line consists of a fixed event text and fields, so
 * that lines can be filtered by either. docs/operations.md lists all events, what they mean and what to do.
 */

import { createConsola } from 'consola';
import type { LogObject } from 'consola';
import { droppedLine, formatJsonLine, formatTextLine } from './log-line.js';
import type { LogFields, LogFormat, LogLine } from './log-line.js';
import type { Log, LogRoot } from './log-interface.js';
import { createStderrSink } from './log-sink.js';

export type { LogFields } from './log-line.js';
export type { Log, LogRoot } from './log-interface.js';
export { createQuietLog } from './quiet-log.js';

const LEVELS = { silent: -999, error: 0, warn: 1, info: 3 } as const;
/** The least severe level that is written. */
export type LogLevel = keyof typeof LEVELS;

function lineOf(entry: LogObject): LogLine {
  const [event, fields] = entry.args as [string, LogFields];
  return { time: entry.date, level: entry.type, component: entry.tag, event, fields };
}

/** Creates a log that writes to standard error. */
export function createLogRoot(level: LogLevel, format: LogFormat = 'text'): LogRoot {
  const formatLine = format === 'json' ? formatJsonLine : formatTextLine;
  const sink = createStderrSink((count) => formatLine(droppedLine(count)));
  function write(entry: LogObject): void {
    sink.write(formatLine(lineOf(entry)));
  }
  const root = createConsola({ level: LEVELS[level], reporters: [{ log: write }] });
  function component(name: string): Log {
    const tagged = root.withTag(name);
    return {
      info: (event, fields = {}) => tagged.info(event, fields),
      warn: (event, fields = {}) => tagged.warn(event, fields),
      error: (event, fields = {}) => tagged.error(event, fields),
    };
  }
  return { component };
}
