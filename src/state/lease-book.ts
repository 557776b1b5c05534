/**
 * A grantor's side of leases: which duty is granted to whom and until when, on its own
 * monotonic clock. Not kept on disk: a restarted grantor grants nothing for the longest term,
 * by when any lease it may have granted is over.
 */

/** A duty held by one controller until a moment of the grantor's clock; `round` tells asks of one holder apart. */
export type Grant = { readonly holder: string; readonly round: number; readonly until: number };

/** All grants, and the moment before which none is made. */
export type LeaseTable = { readonly quietUntil: number; readonly grants: Map<string, Grant> };

/** The ask for a lease. */
export type GrantRequest = {
  readonly duty: string;
  readonly holder: string;
  readonly round: number;
  readonly termMs: number;
};

/** The book of a grantor that starts now. */
export function createLeaseTable(now: number, longestTermMs: number): LeaseTable {
  return { quietUntil: now + longestTermMs, grants: new Map() };
}

/** Grants or prolongs a lease; false if another holds it or the grantor has just started. */
export function requestGrant(book: LeaseTable, ask: GrantRequest, now: number): boolean {
  if (now < book.quietUntil) return false;
  const held = book.grants.get(ask.duty);
  if (held && held.until > now && held.holder !== ask.holder) return false;
  book.grants.set(ask.duty, { holder: ask.holder, round: ask.round, until: now + ask.termMs });
  return true;
}

/** Gives a lease back early; false if it is not that holder's grant of that round. */
export function dropGrant(book: LeaseTable, duty: string, holder: string, round: number): boolean {
  const held = book.grants.get(duty);
  if (!held || held.holder !== holder || held.round !== round) return false;
  book.grants.delete(duty);
  return true;
}
