/**
 * Journals of the stand-ins: one JSON record a line, read by the checkers after a run. The
 * product itself writes none.
 */

import { createWriteStream } from 'node:fs';

/** Takes records; `close` resolves when all are written. */
export type Journal = {
  readonly record: (record: Readonly<Record<string, unknown>>) => void;
  readonly close: () => Promise<void>;
};

/** A journal that appends to a file. */
export function createFileJournal(path: string): Journal {
  const out = createWriteStream(path, { flags: 'a' });
  function append(record: Readonly<Record<string, unknown>>): void {
    out.write(`${JSON.stringify(record)}\n`);
  }
  function close(): Promise<void> {
    function start(resolve: () => void): void {
      out.end(resolve);
    }
    return new Promise(start);
  }
  return { record: append, close };
}

/** A journal that drops everything. */
export function createNoJournal(): Journal {
  function record(): void {}
  function close(): Promise<void> {
    return Promise.resolve();
  }
  return { record, close };
}
