/** The logging interface, which loads no logging library. */
import type { LogFields } from './log-line.js';

/** Logs events at a level. The event text is constant; values belong in the fields. */
export type Log = {
  readonly info: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly error: (event: string, fields?: LogFields) => void;
};

/** Creates a separate log for each component of a node. */
export type LogRoot = { readonly component: (name: string) => Log };
