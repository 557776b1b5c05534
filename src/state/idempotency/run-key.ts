/**
 * Keys of requests that run at most once. A key carries the time of its making, so that one
 * too old to be remembered is refused instead of being taken for new.
 */

import { HOUR_MS } from './claim-table.js';

/** A key with the time of its making, in Unix milliseconds. */
export type RunKey = { readonly text: string; readonly born: number };
/** Why a text is no usable key. */
export type RunKeyError = 'withoutBirth' | 'fromTheFuture' | 'tooOld';

/** How long after its making a key may be used: as long as claims are remembered. */
export const KEY_LIFE_MS = 24 * HOUR_MS;
const AHEAD_MS = 12 * HOUR_MS;
const BIRTH = /^.+@(\d{12,14})$/s;

/** The key of a caller's own id. */
export function runKey(id: string, madeAt: number): string {
  return `${id}@${Math.floor(madeAt)}`;
}

/** Reads a key against shared time; makers' clocks may run ahead by up to twelve hours. */
export function readRunKey(text: string, now: number): RunKey | RunKeyError {
  const born = Number(BIRTH.exec(text)?.[1] ?? Number.NaN);
  if (Number.isNaN(born)) return 'withoutBirth';
  if (born > now + AHEAD_MS) return 'fromTheFuture';
  return now - born > KEY_LIFE_MS ? 'tooOld' : { text, born };
}
