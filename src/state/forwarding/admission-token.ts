/**
 * Tickets: a proxy's signed promise of a place, taken once and only by the process that it
 * names. Signed with the key of the ledger, so any proxy can tell a forged one.
 */

import { hmac, sameText } from '../../base/digest.js';
import { parsedJson } from '../../base/parsed-json.js';

/** What the place was asked for; the homes are weighed by it anew when the request comes. */
export type Bound = {
  readonly mapping: string | null;
  readonly kind: string | null;
  readonly asked: readonly string[] | null;
};

/** The contents of a ticket; `expiresAt` is in shared time, Unix milliseconds. */
export type AdmissionToken = {
  readonly id: string;
  readonly requestId: string;
  readonly proxy: string;
  readonly model: string;
  readonly region: string;
  readonly bound: Bound;
  readonly repeatable: boolean;
  readonly expiresAt: number;
};

/** Why a ticket is not taken. */
export type AdmissionTokenError = 'ticketForeign' | 'ticketUsed' | 'ticketExpired';

/** The text of a ticket, signed. */
export function signAdmissionToken(token: AdmissionToken, key: string): string {
  const body = Buffer.from(JSON.stringify(token)).toString('base64url');
  return `${body}.${hmac(key, body)}`;
}

/** The ticket in a text, or why it is not taken here and now. */
export function readAdmissionToken(
  text: string,
  key: string,
  proxy: string,
  now: number,
): AdmissionToken | AdmissionTokenError {
  const dot = text.indexOf('.');
  if (key === '' || dot <= 0 || !sameText(text.slice(dot + 1), hmac(key, text.slice(0, dot)))) return 'ticketForeign';
  const token = parsedJson(Buffer.from(text.slice(0, dot), 'base64url').toString()) as AdmissionToken | undefined;
  if (!token?.bound || token.proxy !== proxy) return 'ticketForeign';
  return now > token.expiresAt ? 'ticketExpired' : token;
}

/** Tickets that were used; `burn` is false for one used before. */
export interface UsedTokens {
  use(token: AdmissionToken, mono: number): boolean;
  size(): number;
}

const USED_KEPT_MS = 600_000;

class TimedUsedTokens implements UsedTokens {
  private readonly usedTokens = new Map<string, number>();

  use(token: AdmissionToken, mono: number): boolean {
    if (this.usedTokens.has(token.id)) return false;
    this.usedTokens.set(token.id, mono);
    for (const [id, at] of this.usedTokens) {
      if (mono - at < USED_KEPT_MS) break;
      this.usedTokens.delete(id);
    }
    return true;
  }

  size(): number {
    return this.usedTokens.size;
  }
}

/** An empty record; it forgets a ticket after ten minutes, long past its life. */
export function createUsedTokens(): UsedTokens {
  return new TimedUsedTokens();
}
