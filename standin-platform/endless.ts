/** Responses without end, as a faulty worker sends them until its caller closes the connection. */
import type { Socket } from 'node:net';
import type { EndlessMode } from './worker-spec.js';

const LARGE_CHUNK_BYTES = 65_536;
/** Chunks in `TINY_CHUNK_PART`. */
export const TINY_CHUNKS = 8_192;
/** No connection is sent more than this, so that a caller that never closes is bounded too. */
const MAX_BYTES_PER_CONNECTION = 512 * 1_048_576;

/** Many chunks of one byte, with their framing. */
export const TINY_CHUNK_PART = Buffer.from('1\r\nx\r\n'.repeat(TINY_CHUNKS));

/** Returns one chunk with its framing. */
export function chunkOf(bytes: number): Buffer {
  return Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), Buffer.alloc(bytes, 'x'), Buffer.from('\r\n')]);
}

/** What each fault repeats, as parts of a chunked body. */
export const ENDLESS_PARTS: Readonly<Record<EndlessMode, Buffer>> = {
  endless: chunkOf(LARGE_CHUNK_BYTES),
  endlessTiny: TINY_CHUNK_PART,
};

/** Sends the part again and again, no faster than it is read. */
export function sendWithoutEnd(socket: Socket, part: Buffer): void {
  let sent = 0;
  function sendMore(): void {
    while (!socket.destroyed && sent < MAX_BYTES_PER_CONNECTION) {
      sent += part.length;
      if (!socket.write(part)) return;
    }
  }
  socket.on('drain', sendMore);
  sendMore();
}
