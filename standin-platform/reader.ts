/** An incremental parser of HTTP/1.1 responses that also reports bytes which belong to no response. */

/** Status and headers of a response; header names are in lower case. */
export type ResponseHead = { readonly status: number; readonly headers: ReadonlyMap<string, string> };

/** Called with the parts of a response, with invalid bytes, and with bytes outside of any response. */
export type ReaderListener = {
  readonly onHead: (head: ResponseHead) => void;
  readonly onBody: (bytes: Buffer) => void;
  readonly onComplete: () => void;
  readonly onInvalidBytes: (text: string) => void;
  readonly onStrayBytes: (text: string) => void;
};

/** A parser for the responses on one connection. */
export type ResponseReader = {
  readonly expectResponse: () => void;
  readonly push: (bytes: Buffer) => void;
  readonly onClose: () => void;
  readonly isBusy: () => boolean;
};

type State = 'idle' | 'head' | 'sized' | 'chunkSize' | 'chunk' | 'chunkEnd' | 'trailer' | 'toClose' | 'broken';

const HEAD_END = Buffer.from('\r\n\r\n');
const MAX_HEAD_BYTES = 65_536;

/** Creates a parser that treats all bytes as stray until a response is expected. */
export function createResponseReader(listener: ReaderListener): ResponseReader {
  let state: State = 'idle';
  let buffered: Buffer = Buffer.alloc(0);
  let remainingBytes = 0;

  function expectResponse(): void {
    state = 'head';
    if (buffered.length > 0) parseBuffered();
  }
  function isBusy(): boolean {
    return state !== 'idle' && state !== 'broken';
  }
  function rejectBuffered(): void {
    state = 'broken';
    listener.onInvalidBytes(buffered.subarray(0, 80).toString('latin1'));
    buffered = Buffer.alloc(0);
  }
  function complete(): void {
    state = 'idle';
    listener.onComplete();
  }

  function push(bytes: Buffer): void {
    if (state === 'broken') return;
    if (state === 'idle') {
      listener.onStrayBytes(bytes.subarray(0, 80).toString('latin1'));
      return;
    }
    buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
    parseBuffered();
  }

  function onClose(): void {
    if (state === 'toClose') complete();
  }

  function parseBuffered(): void {
    let mayContinue = true;
    while (mayContinue) mayContinue = parseNext();
    if (state === 'idle' && buffered.length > 0) {
      const rest = buffered;
      buffered = Buffer.alloc(0);
      listener.onStrayBytes(rest.subarray(0, 80).toString('latin1'));
    }
  }

  function parseNext(): boolean {
    if (state === 'head') return readHead();
    if (state === 'sized') return readSized();
    if (state === 'chunkSize') return readChunkSize();
    if (state === 'chunk') return readChunk();
    if (state === 'chunkEnd') return readChunkEnd();
    if (state === 'trailer') return readTrailer();
    if (state === 'toClose' && buffered.length > 0) return emitBody(buffered.length);
    return false;
  }

  function emitBody(count: number): boolean {
    const part = buffered.subarray(0, count);
    buffered = buffered.subarray(count);
    listener.onBody(part);
    return true;
  }
  function readLine(): string | null {
    const end = buffered.indexOf('\r\n');
    if (end < 0) {
      if (buffered.length > 1_024) rejectBuffered();
      return null;
    }
    const line = buffered.subarray(0, end).toString('latin1');
    buffered = buffered.subarray(end + 2);
    return line;
  }

  function readHead(): boolean {
    const expectedStart = Buffer.from('HTTP/1.');
    const count = Math.min(buffered.length, expectedStart.length);
    if (!buffered.subarray(0, count).equals(expectedStart.subarray(0, count)) || buffered.length > MAX_HEAD_BYTES) {
      rejectBuffered();
      return false;
    }
    const end = buffered.indexOf(HEAD_END);
    if (end < 0) return false;
    const lines = buffered.subarray(0, end).toString('latin1').split('\r\n');
    const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(lines[0] ?? '')?.[1] ?? 0);
    const headers = new Map<string, string>();
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(':');
      if (colon > 0) headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
    }
    if (status < 100) {
      rejectBuffered();
      return false;
    }
    buffered = buffered.subarray(end + 4);
    if (status < 200) return true;
    beginBody({ status, headers });
    return true;
  }

  function beginBody(head: ResponseHead): void {
    const length = head.headers.get('content-length');
    const chunked = (head.headers.get('transfer-encoding') ?? '').toLowerCase() === 'chunked';
    listener.onHead(head);
    if (head.status === 204 || head.status === 304) complete();
    else if (chunked) state = 'chunkSize';
    else if (length !== undefined) {
      remainingBytes = Number(length);
      state = 'sized';
      if (!/^\d+$/.test(length)) rejectBuffered();
      else if (remainingBytes === 0) complete();
    } else state = 'toClose';
  }

  function readSized(): boolean {
    if (buffered.length === 0) return false;
    const count = Math.min(remainingBytes, buffered.length);
    remainingBytes -= count;
    emitBody(count);
    if (remainingBytes === 0) complete();
    return true;
  }
  function readChunkSize(): boolean {
    const line = readLine();
    if (line === null) return false;
    const size = /^([0-9a-fA-F]+)(;.*)?$/.exec(line);
    if (!size) {
      rejectBuffered();
      return false;
    }
    remainingBytes = parseInt(size[1] ?? '0', 16);
    state = remainingBytes === 0 ? 'trailer' : 'chunk';
    return true;
  }
  function readChunk(): boolean {
    if (buffered.length === 0) return false;
    const count = Math.min(remainingBytes, buffered.length);
    remainingBytes -= count;
    emitBody(count);
    if (remainingBytes === 0) state = 'chunkEnd';
    return true;
  }
  function readChunkEnd(): boolean {
    if (buffered.length < 2) return false;
    if (buffered[0] !== 13 || buffered[1] !== 10) {
      rejectBuffered();
      return false;
    }
    buffered = buffered.subarray(2);
    state = 'chunkSize';
    return true;
  }
  function readTrailer(): boolean {
    const line = readLine();
    if (line === null) return false;
    if (line === '') complete();
    return true;
  }

  return { expectResponse, push, onClose, isBusy };
}
