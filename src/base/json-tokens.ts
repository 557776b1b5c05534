/**
 * Bounds JSON texts of untrusted callers before they are parsed. A parsed value takes up to about sixty times the memory
 * of its text, so that a text within the size limit could exhaust the heap, which ends the process.
 */

/** More than the largest configuration that can be stored has. */
export const MAX_JSON_TOKENS = 1_000_000;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPEN_ARRAY = 0x5b;
const OPEN_OBJECT = 0x7b;
const COMMA = 0x2c;
const COLON = 0x3a;

/** Returns whether the text has more than `maxTokens` commas, colons and opening brackets outside of strings. */
export function hasMoreTokensThan(text: Uint8Array, maxTokens: number): boolean {
  if (text.length <= maxTokens) return false;
  let tokens = 0;
  let isInString = false;
  for (let at = 0; at < text.length; at += 1) {
    const byte = text[at];
    if (byte === QUOTE) isInString = !isInString;
    else if (isInString) at += byte === BACKSLASH ? 1 : 0;
    else if (byte === COMMA || byte === COLON || byte === OPEN_ARRAY || byte === OPEN_OBJECT) {
      tokens += 1;
      if (tokens > maxTokens) return true;
    }
  }
  return false;
}
