/**
 * Logging as an interface, and its implementation on `consola`. A line is an event, in fixed words, with its fields, so that
 * it can be filtered by either; docs/operations.md lists all events, what they mean and what to do.
 */

import { createConsola } from 'consola';
import type { LogObject } from 'consola';
import { jsonLine, textLine } from './log-line.js';
import type { LogFields, LogFormat, LogLine } from './log-line.js';

export type { LogFields } from './log-line.js';

/** Logs events at a level; an event's words never hold values. */
export type Log = {
  readonly info: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly error: (event: string, fields?: LogFields) => void;
};

/** Gives each component of a node its own log. */
export type LogRoot = { readonly component: (name: string) => Log };

const LEVELS = { silent: -999, error: 0, warn: 1, info: 3 } as const;
/** Lowest level that is written. */
export type LogLevel = keyof typeof LEVELS;

function lineOf(entry: LogObject): LogLine {
  const [event, fields] = entry.args as [string, LogFields];
  return { time: entry.date, level: entry.type, component: entry.tag, event, fields };
}

/** A log on standard error. */
export function createLogRoot(level: LogLevel, format: LogFormat = 'text'): LogRoot {
  const shown = format === 'json' ? jsonLine : textLine;
  function print(entry: LogObject): void {
    process.stderr.write(shown(lineOf(entry)));
  }
  const sink = createConsola({ level: LEVELS[level], reporters: [{ log: print }] });
  function component(name: string): Log {
    const tagged = sink.withTag(name);
    return {
      info: (event, fields = {}) => tagged.info(event, fields),
      warn: (event, fields = {}) => tagged.warn(event, fields),
      error: (event, fields = {}) => tagged.error(event, fields),
    };
  }
  return { component };
}

/** A log that drops everything. */
export function createQuietLog(): LogRoot {
  function drop(): void {}
  function component(): Log {
    return { info: drop, warn: drop, error: drop };
  }
  return { component };
}
