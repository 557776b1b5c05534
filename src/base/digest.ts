/**
 * Hashes of text: cryptographic ones for identities and signatures, a fast one for
 * spreading keys. Used by every layer; pure functions.
 */

import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

/** SHA-256 of a text, in hexadecimal. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** HMAC-SHA-256 of a text under a secret, in URL-safe base 64. */
export function hmac(secret: string, text: string): string {
  return createHmac('sha256', secret).update(text).digest('base64url');
}

/** Whether two texts are equal, in a time that does not tell where they differ. */
export function sameText(a: string, b: string): boolean {
  const x = Buffer.from(a);
  const y = Buffer.from(b);
  return x.length === y.length && timingSafeEqual(x, y);
}

/** A 32-bit hash for spreading keys evenly (FNV-1a with the final mix of MurmurHash3). Not for secrets. */
export function hash32(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    h ^= text.charCodeAt(i);
    h = Math.imul(h, 0x01000193);
  }
  h ^= h >>> 16;
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  h = Math.imul(h, 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
