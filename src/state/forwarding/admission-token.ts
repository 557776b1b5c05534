/**
 * Admission tokens (`ticket` on the wire): a proxy's signed admission of one request, accepted once and only by the
 * proxy process that it names. They are signed with a key from the replicated log, so that any proxy detects a forged
 * one.
 */

import { hmac, timingSafeEqualText } from '../../base/digest.js';
import { parseJson } from '../../base/parse-json.js';

/** The constraints that were asked for; the home regions are derived from them again when the request arrives. */
export type PlacementConstraints = {
  readonly mapping: string | null;
  readonly kind: string | null;
  readonly asked: readonly string[] | null;
};

/** Contents of an admission token; `expiresAt` is shared time in Unix milliseconds. */
export type AdmissionToken = {
  readonly id: string;
  readonly requestId: string;
  readonly proxy: string;
  readonly model: string;
  readonly region: string;
  readonly bound: PlacementConstraints;
  readonly repeatable: boolean;
  readonly expiresAt: number;
};

/** Why a token is rejected. */
export type AdmissionTokenError = 'ticketForeign' | 'ticketUsed' | 'ticketExpired';

/** Returns the signed text of a token. */
export function signAdmissionToken(token: AdmissionToken, key: string): string {
  const body = Buffer.from(JSON.stringify(token)).toString('base64url');
  return `${body}.${hmac(key, body)}`;
}

/** Returns the token in a text, or why this proxy rejects it at this time. */
export function readAdmissionToken(
  text: string,
  key: string,
  proxy: string,
  now: number,
): AdmissionToken | AdmissionTokenError {
  const dot = text.indexOf('.');
  if (key === '' || dot <= 0 || !timingSafeEqualText(text.slice(dot + 1), hmac(key, text.slice(0, dot))))
    return 'ticketForeign';
  const token = parseJson(Buffer.from(text.slice(0, dot), 'base64url').toString()) as AdmissionToken | undefined;
  if (!token?.bound || token.proxy !== proxy) return 'ticketForeign';
  return now > token.expiresAt ? 'ticketExpired' : token;
}

/** The tokens that were used; `use` returns false for a token that was used before. */
export interface UsedTokens {
  use(token: AdmissionToken, mono: number): boolean;
  size(): number;
}

const USED_TOKEN_RETENTION_MS = 600_000;

class TimedUsedTokens implements UsedTokens {
  private readonly usedTokens = new Map<string, number>();

  use(token: AdmissionToken, mono: number): boolean {
    if (this.usedTokens.has(token.id)) return false;
    this.usedTokens.set(token.id, mono);
    for (const [id, usedAt] of this.usedTokens) {
      if (mono - usedAt < USED_TOKEN_RETENTION_MS) break;
      this.usedTokens.delete(id);
    }
    return true;
  }

  size(): number {
    return this.usedTokens.size;
  }
}

/** Creates an empty record; it forgets a token after ten minutes, long after the token has expired. */
export function createUsedTokens(): UsedTokens {
  return new TimedUsedTokens();
}
