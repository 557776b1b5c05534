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
  readonly role: string;
  readonly holder: string;
  readonly round: number;
  readonly termMs: number;
};

/** The book of a grantor that starts now. */
export function createLeaseTable(now: number, longestTermMs: number): LeaseTable {
  return { quietUntil: now + longestTermMs, grants: new Map() };
}

/** Grants or prolongs a lease; false if another holds it or the grantor has just started. */
export function requestGrant(table: LeaseTable, request: GrantRequest, now: number): boolean {
  if (now < table.quietUntil) return false;
  const current = table.grants.get(request.role);
  if (current && current.until > now && current.holder !== request.holder) return false;
  table.grants.set(request.role, { holder: request.holder, round: request.round, until: now + request.termMs });
  return true;
}

/** Gives a lease back early; false if it is not that holder's grant of that round. */
export function dropGrant(table: LeaseTable, role: string, holder: string, round: number): boolean {
  const current = table.grants.get(role);
  if (!current || current.holder !== holder || current.round !== round) return false;
  table.grants.delete(role);
  return true;
}
