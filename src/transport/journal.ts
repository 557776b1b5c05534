/**
 * Journals of the stand-in programs: one JSON record per line, read by the checkers after a run.
 * The product itself writes no journal.
 */

import { createWriteStream } from 'node:fs';

/** Writes records; `close` resolves when all are written. */
export type Journal = {
  readonly record: (record: Readonly<Record<string, unknown>>) => void;
  readonly close: () => Promise<void>;
};

/** Creates a journal that appends to a file. */
export function createFileJournal(path: string): Journal {
  const file = createWriteStream(path, { flags: 'a' });
  function append(record: Readonly<Record<string, unknown>>): void {
    file.write(`${JSON.stringify(record)}\n`);
  }
  function close(): Promise<void> {
    function start(resolve: () => void): void {
      file.end(resolve);
    }
    return new Promise(start);
  }
  return { record: append, close };
}

/** Creates a journal that discards all records. */
export function createNoJournal(): Journal {
  function record(): void {}
  function close(): Promise<void> {
    return Promise.resolve();
  }
  return { record, close };
}
