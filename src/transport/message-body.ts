/** Reads the body of an HTTP message into memory, up to a limit. */
import type { IncomingMessage } from 'node:http';
import { ByteAccumulator } from '../base/byte-accumulator.js';

/** How reading a body ended: with all of it, at the limit, or with the connection. */
export type BodyRead =
  { readonly tag: 'complete'; readonly body: Buffer } | { readonly tag: 'tooLarge' } | { readonly tag: 'aborted' };

/** Reads at most `maxBytes`; a body that announces more is not read at all. After `tooLarge` nothing more is kept; the caller decides what becomes of the message. */
export function readMessageBody(message: IncomingMessage, maxBytes: number): Promise<BodyRead> {
  if (Number(message.headers['content-length'] ?? 0) > maxBytes) return Promise.resolve({ tag: 'tooLarge' });
  return new Promise((resolve) => {
    const received = new ByteAccumulator();
    function settle(read: BodyRead): void {
      message.off('data', onData);
      received.clear();
      resolve(read);
    }
    function onData(chunk: Buffer): void {
      if (received.length + chunk.length > maxBytes) settle({ tag: 'tooLarge' });
      else received.append(chunk);
    }
    function onEnd(): void {
      settle(message.complete ? { tag: 'complete', body: received.take() } : { tag: 'aborted' });
    }
    function onAborted(): void {
      settle({ tag: 'aborted' });
    }
    message.on('data', onData);
    message.on('end', onEnd);
    message.on('error', onAborted);
    message.on('aborted', onAborted);
    message.on('close', onAborted);
  });
}
