/**
 * The operators' part of the replicated state: which changes of the configuration were applied, each under the identity
 * of the request that asked for it. Only the fold writes here; the operators' servers read it to tell a request that is
 * sent again from one that is late. It is bounded by itself, so no number of other entries pushes a change out of it.
 */
import { isTable } from '../../base/is-table.js';
import type { Change } from './entry.js';

/** The operator's own numbers of a change: the one that it builds on and the one that it brings. */
export type Revision = { readonly base: number; readonly number: number };

/** One change that is in the history of the configuration. */
export type AppliedChange = {
  /** Identity of the request: two requests with the same identity are one change. */
  readonly request: string;
  /** The slot that applied it, which is the configuration's version from there on. */
  readonly version: number;
  /** Absent for a change made on the version itself. */
  readonly revision?: Revision;
};

/** The changes that were applied, bounded; stored with the state. */
export type OperatorHistory = {
  /** Oldest first, at most MAX_APPLIED_CHANGES. */
  changes: AppliedChange[];
  /** Versions up to this one may have been dropped from `changes`; -1 while all are there. */
  forgottenVersion: number;
  /** The same for the operators' own numbers. */
  forgottenNumber: number;
  /** Changes that lead from the configuration back to the one that the newest numbered change was built on. */
  undo: Change[] | null;
  /** The slot of each zone's newest order to evacuate it or to hand it back, kept after the hand-back too. */
  zoneVersions: Record<string, number>;
  /** Applied orders on zones that had an id of their own, oldest first, at most MAX_ZONE_ORDERS. */
  zoneOrders: AppliedChange[];
};

/**
 * A day holds some hundreds of changes, and a request is sent again within seconds or minutes: a thousand leaves a
 * margin of several times. About 100 bytes each in JSON, so the history adds at most some 100 KB to a snapshot.
 */
export const MAX_APPLIED_CHANGES = 1_024;

/** Zones are evacuated some times a day; an order with an id is sent again within seconds. */
export const MAX_ZONE_ORDERS = 256;

/** The version of a zone that no order named yet. */
export const NO_ZONE_VERSION = -1;

const OPERATOR_PREFIX = 'operator:';

/** No changes yet. */
export function emptyOperatorHistory(): OperatorHistory {
  return { changes: [], forgottenVersion: -1, forgottenNumber: -1, undo: null, zoneVersions: {}, zoneOrders: [] };
}

/** Whether a parsed value has the parts of a history. */
export function isOperatorHistory(value: unknown): value is OperatorHistory {
  if (!isTable(value)) return false;
  const { changes, forgottenVersion, forgottenNumber, undo, zoneVersions, zoneOrders } = value;
  if (!Array.isArray(changes) || !Array.isArray(zoneOrders) || !isTable(zoneVersions)) return false;
  return (
    Number.isInteger(forgottenVersion) && Number.isInteger(forgottenNumber) && (undo === null || Array.isArray(undo))
  );
}

/** The identity of an operator's request, from the digest of what was sent or from the id that the caller gave it. */
export function operatorRequest(digestOrId: string): string {
  return `${OPERATOR_PREFIX}${digestOrId}`;
}

/** Whether an entry's id is an operator's. */
export function isOperatorRequest(id: string): boolean {
  return id.startsWith(OPERATOR_PREFIX);
}

/** Adds a change that was just applied. `undo` leads back to the configuration that a numbered change was built on. */
export function recordChange(history: OperatorHistory, change: AppliedChange, undo: Change[] | null): void {
  history.changes.push(change);
  history.undo = undo;
  while (history.changes.length > MAX_APPLIED_CHANGES) forgetOldest(history);
}

function forgetOldest(history: OperatorHistory): void {
  const oldest = history.changes.shift();
  if (!oldest) return;
  history.forgottenVersion = Math.max(history.forgottenVersion, oldest.version);
  if (oldest.revision) history.forgottenNumber = Math.max(history.forgottenNumber, oldest.revision.number);
}

/** Adds an order on a zone that was just applied. */
export function recordZoneOrder(history: OperatorHistory, zone: string, order: AppliedChange): void {
  history.zoneVersions[zone] = order.version;
  if (!isOperatorRequest(order.request)) return;
  history.zoneOrders.push(order);
  if (history.zoneOrders.length > MAX_ZONE_ORDERS) history.zoneOrders.shift();
}

/** The slot of the newest order on a zone; an order that names it is applied only while no other one came between. */
export function zoneVersion(history: OperatorHistory, zone: string): number {
  return Object.hasOwn(history.zoneVersions, zone) ? (history.zoneVersions[zone] as number) : NO_ZONE_VERSION;
}

/** The change of the configuration that a request brought about, if it was applied and is still known. */
export function appliedChange(history: OperatorHistory, request: string): AppliedChange | null {
  return newestOf(history.changes, request);
}

/** The same for an order on a zone. */
export function appliedZoneOrder(history: OperatorHistory, request: string): AppliedChange | null {
  return newestOf(history.zoneOrders, request);
}

function newestOf(changes: readonly AppliedChange[], request: string): AppliedChange | null {
  for (let i = changes.length - 1; i >= 0; i -= 1) {
    const change = changes[i] as AppliedChange;
    if (change.request === request) return change;
  }
  return null;
}

/** A numbered change, as `AppliedChange` has it. */
export type NumberedChange = AppliedChange & { readonly revision: Revision };

function isNumbered(change: AppliedChange): change is NumberedChange {
  return change.revision !== undefined;
}

/** The newest numbered change, if it is also what the configuration holds now. */
export function newestNumbered(history: OperatorHistory): NumberedChange | null {
  if (history.undo === null) return null;
  for (let i = history.changes.length - 1; i >= 0; i -= 1) {
    const change = history.changes[i] as AppliedChange;
    if (isNumbered(change)) return change;
  }
  return null;
}

/** Adds another request for the newest numbered change; false if that is no longer the one with this number. */
export function recordRepeated(history: OperatorHistory, request: string, number: number): boolean {
  const newest = newestNumbered(history);
  if (newest?.revision.number !== number) return false;
  if (!appliedChange(history, request)) recordChange(history, { ...newest, request }, history.undo);
  return true;
}

/** Whether a numbered change on `base` may have been applied so long ago that it is no longer known. */
export function mayBeForgotten(history: OperatorHistory, base: number): boolean {
  return base < history.forgottenNumber;
}

/** The same for a change that was built on a version of the configuration. */
export function versionMayBeForgotten(history: OperatorHistory, base: number): boolean {
  return base < history.forgottenVersion;
}
