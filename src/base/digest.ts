/**
 * Hash functions of text: cryptographic hashes for identities and signatures, and a fast hash for distributing keys.
 * Pure functions, used by every layer.
 */

import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

/** Returns the SHA-256 of a text, in hexadecimal. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Returns the HMAC-SHA-256 of a text under a secret, in URL-safe base64. */
export function hmac(secret: string, text: string): string {
  return createHmac('sha256', secret).update(text).digest('base64url');
}

/** Compares two texts; the time taken does not reveal where they differ, as needed for signatures. */
export function timingSafeEqualText(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

/** Returns a 32-bit hash that distributes keys evenly (FNV-1a with the finalizer of MurmurHash3). Not for secrets. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    hash ^= text.charCodeAt(i);
    hash = Math.imul(hash, 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
