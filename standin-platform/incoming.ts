/** Reading what callers send to a stand-in worker. */

import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { HEADER } from '../platform/words.js';

/** A header of a request, or null. */
export function header(req: IncomingMessage, name: string): string | null {
  const value = req.headers[name];
  return typeof value === 'string' ? value : null;
}

/** SHA-256 in hexadecimal, as the journals give digests. */
export function sha(bytes: Buffer | string): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** The digest of a request's body, or null if its caller left before the end. */
export function digestOf(req: IncomingMessage): Promise<string | null> {
  function read(resolve: (digest: string | null) => void): void {
    const hash = createHash('sha256');
    let whole = false;
    function data(bytes: Buffer): void {
      hash.update(bytes);
    }
    function end(): void {
      whole = true;
      resolve(hash.digest('hex'));
    }
    function close(): void {
      if (!whole) resolve(null);
    }
    req.on('data', data);
    req.on('end', end);
    req.on('close', close);
  }
  return new Promise<string | null>(read);
}

/** Tokens of the prompt, and at most of the answer, as the request tells them; 0 where it does not. */
export function tokensOf(req: IncomingMessage): { readonly prompt: number; readonly answer: number } {
  const [prompt = 0, answer = 0] = (header(req, HEADER.tokens) ?? '0,0').split(',').map(Number);
  return { prompt, answer };
}
