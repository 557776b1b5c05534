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
/** 1 for each byte that means the same inside and outside of strings. */
const IS_PLAIN = new Uint8Array(256).fill(1);
for (const byte of [QUOTE, BACKSLASH, OPEN_ARRAY, OPEN_OBJECT, COMMA, COLON]) IS_PLAIN[byte] = 0;

/** Counts the commas, colons and opening brackets outside of strings of a text that arrives in parts. */
export class JsonTokenCounter {
  private tokens = 0;
  private isInString = false;
  private isEscaped = false;

  /** Returns how many there are so far, this part included. */
  add(part: Uint8Array): number {
    for (let index = 0; index < part.length; index += 1) {
      const byte = part[index] as number;
      // Most bytes are none of those below.
      if (IS_PLAIN[byte] === 1 && !this.isEscaped) continue;
      if (this.isEscaped) this.isEscaped = false;
      else if (byte === QUOTE) this.isInString = !this.isInString;
      else if (this.isInString) this.isEscaped = byte === BACKSLASH;
      else if (byte === COMMA || byte === COLON || byte === OPEN_ARRAY || byte === OPEN_OBJECT) this.tokens += 1;
    }
    return this.tokens;
  }
}

/** Returns the number of commas, colons and opening brackets outside of strings. */
export function countTokens(text: Uint8Array): number {
  return new JsonTokenCounter().add(text);
}

/** Returns whether the text has more than `maxTokens` commas, colons and opening brackets outside of strings. */
export function hasMoreTokensThan(text: Uint8Array, maxTokens: number): boolean {
  return text.length > maxTokens && countTokens(text) > maxTokens;
}
