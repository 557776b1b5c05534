/**
 * Logging as an interface, and its implementation on `consola`. Each part of a node logs under
 * its own prefix; docs/operations.md lists what the lines mean.
 */

import { createConsola } from 'consola';
import type { LogObject } from 'consola';

/** Takes one line of text at a level. */
export type Log = {
  readonly info: (text: string) => void;
  readonly warn: (text: string) => void;
  readonly error: (text: string) => void;
};

/** Gives each part of a node its own log. */
export type LogRoot = { readonly component: (prefix: string) => Log };

const LEVELS = { silent: -999, error: 0, warn: 1, info: 3 } as const;
/** Lowest level that is written. */
export type LogLevel = keyof typeof LEVELS;

function print(entry: LogObject): void {
  process.stderr.write(`${entry.date.toISOString()} ${entry.type.padEnd(5)} [${entry.tag}] ${entry.args.join(' ')}\n`);
}

/** A log on standard error. */
export function createLogRoot(level: LogLevel): LogRoot {
  const sink = createConsola({ level: LEVELS[level], reporters: [{ log: print }] });
  function component(prefix: string): Log {
    const tagged = sink.withTag(prefix);
    function info(text: string): void {
      tagged.info(text);
    }
    function warn(text: string): void {
      tagged.warn(text);
    }
    function error(text: string): void {
      tagged.error(text);
    }
    return { info, warn, error };
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
