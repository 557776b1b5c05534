import { createWriteStream } from 'node:fs';

export type Journal = {
  readonly note: (record: Readonly<Record<string, unknown>>) => void;
  readonly close: () => Promise<void>;
};

export function createFileJournal(path: string): Journal {
  const out = createWriteStream(path, { flags: 'a' });
  function note(record: Readonly<Record<string, unknown>>): void {
    out.write(`${JSON.stringify(record)}\n`);
  }
  function close(): Promise<void> {
    function start(resolve: () => void): void {
      out.end(resolve);
    }
    return new Promise(start);
  }
  return { note, close };
}

export function createNoJournal(): Journal {
  function note(): void {}
  function close(): Promise<void> {
    return Promise.resolve();
  }
  return { note, close };
}
