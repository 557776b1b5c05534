export type Head = { readonly status: number; readonly headers: ReadonlyMap<string, string> };

export type ReaderSink = {
  readonly head: (head: Head) => void;
  readonly body: (bytes: Buffer) => void;
  readonly whole: () => void;
  readonly garbage: (text: string) => void;
  readonly stray: (text: string) => void;
};

export type ResponseReader = {
  readonly expect: () => void;
  readonly push: (bytes: Buffer) => void;
  readonly closed: () => void;
  readonly busy: () => boolean;
};

type State = 'idle' | 'head' | 'sized' | 'chunkSize' | 'chunk' | 'chunkEnd' | 'trailer' | 'toClose' | 'broken';

const HEAD_END = Buffer.from('\r\n\r\n');
const MOST_HEAD = 65_536;

export function createResponseReader(sink: ReaderSink): ResponseReader {
  let state: State = 'idle';
  let held: Buffer = Buffer.alloc(0);
  let left = 0;

  function expect(): void {
    state = 'head';
    if (held.length > 0) step();
  }
  function busy(): boolean {
    return state !== 'idle' && state !== 'broken';
  }
  function broken(): void {
    state = 'broken';
    sink.garbage(held.subarray(0, 80).toString('latin1'));
    held = Buffer.alloc(0);
  }
  function whole(): void {
    state = 'idle';
    sink.whole();
  }

  function distribution(bytes: Buffer): void {
    if (state === 'broken') return;
    if (state === 'idle') {
      sink.stray(bytes.subarray(0, 80).toString('latin1'));
      return;
    }
    held = held.length === 0 ? bytes : Buffer.concat([held, bytes]);
    step();
  }

  function closed(): void {
    if (state === 'toClose') whole();
  }

  function step(): void {
    let on = true;
    while (on) on = once();
    if (state === 'idle' && held.length > 0) {
      const rest = held;
      held = Buffer.alloc(0);
      sink.stray(rest.subarray(0, 80).toString('latin1'));
    }
  }

  function once(): boolean {
    if (state === 'head') return readHead();
    if (state === 'sized') return readSized();
    if (state === 'chunkSize') return readChunkSize();
    if (state === 'chunk') return readChunk();
    if (state === 'chunkEnd') return readChunkEnd();
    if (state === 'trailer') return readTrailer();
    if (state === 'toClose' && held.length > 0) return give(held.length);
    return false;
  }

  function give(count: number): boolean {
    const part = held.subarray(0, count);
    held = held.subarray(count);
    sink.body(part);
    return true;
  }
  function lineEnd(): string | null {
    const end = held.indexOf('\r\n');
    if (end < 0) {
      if (held.length > 1_024) broken();
      return null;
    }
    const line = held.subarray(0, end).toString('latin1');
    held = held.subarray(end + 2);
    return line;
  }

  function readHead(): boolean {
    const starts = Buffer.from('HTTP/1.');
    const count = Math.min(held.length, starts.length);
    if (!held.subarray(0, count).equals(starts.subarray(0, count)) || held.length > MOST_HEAD) {
      broken();
      return false;
    }
    const end = held.indexOf(HEAD_END);
    if (end < 0) return false;
    const lines = held.subarray(0, end).toString('latin1').split('\r\n');
    const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(lines[0] ?? '')?.[1] ?? 0);
    const headers = new Map<string, string>();
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(':');
      if (colon > 0) headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
    }
    if (status < 100) {
      broken();
      return false;
    }
    held = held.subarray(end + 4);
    if (status < 200) return true;
    begin({ status, headers });
    return true;
  }

  function begin(head: Head): void {
    const length = head.headers.get('content-length');
    const chunked = (head.headers.get('transfer-encoding') ?? '').toLowerCase() === 'chunked';
    sink.head(head);
    if (head.status === 204 || head.status === 304) whole();
    else if (chunked) state = 'chunkSize';
    else if (length !== undefined) {
      left = Number(length);
      state = 'sized';
      if (!/^\d+$/.test(length)) broken();
      else if (left === 0) whole();
    } else state = 'toClose';
  }

  function readSized(): boolean {
    if (held.length === 0) return false;
    const count = Math.min(left, held.length);
    left -= count;
    give(count);
    if (left === 0) whole();
    return true;
  }
  function readChunkSize(): boolean {
    const line = lineEnd();
    if (line === null) return false;
    const size = /^([0-9a-fA-F]+)(;.*)?$/.exec(line);
    if (!size) {
      broken();
      return false;
    }
    left = parseInt(size[1] ?? '0', 16);
    state = left === 0 ? 'trailer' : 'chunk';
    return true;
  }
  function readChunk(): boolean {
    if (held.length === 0) return false;
    const count = Math.min(left, held.length);
    left -= count;
    give(count);
    if (left === 0) state = 'chunkEnd';
    return true;
  }
  function readChunkEnd(): boolean {
    if (held.length < 2) return false;
    if (held[0] !== 13 || held[1] !== 10) {
      broken();
      return false;
    }
    held = held.subarray(2);
    state = 'chunkSize';
    return true;
  }
  function readTrailer(): boolean {
    const line = lineEnd();
    if (line === null) return false;
    if (line === '') whole();
    return true;
  }

  return { expect, push: distribution, closed, busy };
}
