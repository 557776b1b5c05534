/**
 * The grantor side of leases: which singleton role is granted to which controller, and until when on the grantor's
 * monotonic clock. The table is not stored on disk. A grantor that restarts grants nothing for the maximum lease term,
 * after which every lease that it may have granted before has expired.
 */

/** A role held by one controller until a time of the grantor's clock; `round` tells requests of one holder apart. */
export type Grant = { readonly holder: string; readonly round: number; readonly until: number };

/** All grants by role, and the time before which no grant is made. */
export type LeaseTable = { readonly noGrantsUntil: number; readonly grants: Map<string, Grant> };

/** A request for a lease. */
export type GrantRequest = {
  readonly role: string;
  readonly holder: string;
  readonly round: number;
  readonly termMs: number;
};

/** Creates the table of a grantor that starts at `now`. */
export function createLeaseTable(now: number, maxTermMs: number): LeaseTable {
  return { noGrantsUntil: now + maxTermMs, grants: new Map() };
}

/** Grants or renews a lease. Returns false if another controller holds it or the grantor has just started. */
export function requestGrant(table: LeaseTable, request: GrantRequest, now: number): boolean {
  if (now < table.noGrantsUntil) return false;
  const current = table.grants.get(request.role);
  if (current && current.until > now && current.holder !== request.holder) return false;
  table.grants.set(request.role, { holder: request.holder, round: request.round, until: now + request.termMs });
  return true;
}

/** Releases a lease early. Returns false if the current grant is not of this holder and this round. */
export function releaseGrant(table: LeaseTable, role: string, holder: string, round: number): boolean {
  const current = table.grants.get(role);
  if (!current || current.holder !== holder || current.round !== round) return false;
  table.grants.delete(role);
  return true;
}
