/**
 * Keys of requests that run at most once. A key contains its creation time, so that a key whose claim may have been
 * forgotten already is rejected instead of being treated as new.
 */

import { HOUR_MS } from './claim-table.js';

/** A key and its creation time (`born`) in Unix milliseconds. */
export type RunKey = { readonly text: string; readonly born: number };
/** Why a text is not a usable key. */
export type RunKeyError = 'withoutBirth' | 'fromTheFuture' | 'tooOld';

/** How long after its creation a key may be used. Claims are kept longer than this. */
export const MAX_KEY_AGE_MS = 24 * HOUR_MS;
const MAX_CLOCK_LEAD_MS = 12 * HOUR_MS;
const KEY_PATTERN = /^.+@(\d{12,14})$/s;

/** Builds the key for an id chosen by the caller. */
export function runKey(id: string, createdAt: number): string {
  return `${id}@${Math.floor(createdAt)}`;
}

/** Parses a key and checks its age against `now`. The clock of the key's creator may be up to 12 hours ahead. */
export function parseRunKey(text: string, now: number): RunKey | RunKeyError {
  const born = Number(KEY_PATTERN.exec(text)?.[1] ?? Number.NaN);
  if (Number.isNaN(born)) return 'withoutBirth';
  if (born > now + MAX_CLOCK_LEAD_MS) return 'fromTheFuture';
  return now - born > MAX_KEY_AGE_MS ? 'tooOld' : { text, born };
}
