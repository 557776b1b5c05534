/** Reads requests that arrive at a stand-in worker. */

import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { HEADER } from '../platform/words.js';

/** Returns a request header, or null. */
export function header(req: IncomingMessage, name: string): string | null {
  const value = req.headers[name];
  return typeof value === 'string' ? value : null;
}

/** Returns the SHA-256 digest in hexadecimal, the form of digests in the journals. */
export function sha256Hex(bytes: Buffer | string): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** Returns the digest of the request body, or null if the caller closed the connection before its end. */
export function digestBody(req: IncomingMessage): Promise<string | null> {
  function read(resolve: (digest: string | null) => void): void {
    const hash = createHash('sha256');
    let isComplete = false;
    function onData(bytes: Buffer): void {
      hash.update(bytes);
    }
    function onEnd(): void {
      isComplete = true;
      resolve(hash.digest('hex'));
    }
    function onClose(): void {
      if (!isComplete) resolve(null);
    }
    req.on('data', onData);
    req.on('end', onEnd);
    req.on('close', onClose);
  }
  return new Promise<string | null>(read);
}

/** Returns the prompt tokens and the maximum response tokens that the request declares; 0 where it declares none. */
export function tokenCounts(req: IncomingMessage): { readonly prompt: number; readonly answer: number } {
  const [prompt = 0, answer = 0] = (header(req, HEADER.tokens) ?? '0,0').split(',').map(Number);
  return { prompt, answer };
}
