/**
 * Marks in the hash of a prompt part, which stand-ins carry through the system, so that the checker knows the run-once
 * key, the kind and the home regions of a request wherever it arrives.
 */

/** What a mark states of its request. */
export type RequestMark = {
  readonly key: string | null;
  readonly kind: string | null;
  readonly homes: readonly string[] | null;
};

const MARK_PREFIX = 'mark';

/** Encodes a mark as the hash of a prompt part; `unique` tells hashes of equal marks apart. */
export function markedHash(mark: RequestMark, unique: string): string {
  return [MARK_PREFIX, mark.key ?? '', mark.kind ?? '', (mark.homes ?? []).join('+'), unique].join('|');
}

/** Decodes a mark; null if the hash is not one. */
export function readMark(text: string): RequestMark | null {
  const [prefix, key, kind, homes] = text.split('|');
  if (prefix !== MARK_PREFIX) return null;
  return { key: key || null, kind: kind || null, homes: homes ? homes.split('+') : null };
}

/** Returns the first hash of the parts that is a mark; null if none is. */
export function findMark(parts: readonly { readonly hash: string }[]): string | null {
  for (const part of parts) if (readMark(part.hash)) return part.hash;
  return null;
}
