/**
 * The history of operator changes in the replicated state: which changes of the configuration were applied, each
 * under the id of its request. It is written only when entries are applied; the servers for operators read it to
 * distinguish a retry of a request from a stale request. It has a bound of its own, so that other entries never push
 * a change out of it.
 */
import { isJsonObject } from '../../base/is-json-object.js';
import type { ConfigurationChange } from './entry.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/** The operator's own revision numbers of a change: the one that it is based on and the one that it creates. */
export type Revision = { readonly base: number; readonly number: number };

/** An applied change of the configuration. */
export type AppliedChange = {
  /** Id of the request: two requests with the same id are one change. */
  readonly request: string;
  /** The slot that applied it, which became the version of the configuration. */
  readonly version: number;
  /** Absent for a change that was based on a version of the configuration. */
  readonly revision?: Revision;
};

/** The applied changes, bounded in number; stored with the state. */
export type OperatorHistory = {
  /** Oldest first, at most MAX_APPLIED_CHANGES. */
  changes: AppliedChange[];
  /** Versions up to this one may have been dropped from `changes`; -1 if none were. */
  forgottenVersion: number;
  /** Revision numbers up to this one may have been dropped from `changes`; -1 if none were. */
  forgottenNumber: number;
  /** Changes that revert the configuration to the one that the newest numbered change was based on. */
  undo: ConfigurationChange[] | null;
  /** The slot of the newest order to evacuate or restore each zone; kept after the zone was restored. */
  zoneVersions: Record<string, number>;
  /** Applied zone orders that had an id of their own, oldest first, at most MAX_ZONE_ORDERS. */
  zoneOrders: AppliedChange[];
};

/**
 * There are some hundreds of changes a day, and a request is retried within seconds or minutes, so a thousand changes
 * leave a margin of several times. At about 100 bytes of JSON each, the history adds at most some 100 KB to a
 * snapshot.
 */
export const MAX_APPLIED_CHANGES = 1_024;

/** Zones are evacuated a few times a day, and an order with an id is retried within seconds. */
export const MAX_ZONE_ORDERS = 256;

/** The version of a zone that has had no order yet. */
export const NO_ZONE_VERSION = -1;

const OPERATOR_PREFIX = 'operator:';

/** Returns a history without changes. */
export function emptyOperatorHistory(): OperatorHistory {
  return { changes: [], forgottenVersion: -1, forgottenNumber: -1, undo: null, zoneVersions: {}, zoneOrders: [] };
}

/** Whether a parsed value has the fields of a history. */
export function isOperatorHistory(value: unknown): value is OperatorHistory {
  if (!isJsonObject(value)) return false;
  const { changes, forgottenVersion, forgottenNumber, undo, zoneVersions, zoneOrders } = value;
  if (!Array.isArray(changes) || !Array.isArray(zoneOrders) || !isJsonObject(zoneVersions)) return false;
  return (
    Number.isInteger(forgottenVersion) && Number.isInteger(forgottenNumber) && (undo === null || Array.isArray(undo))
  );
}

/** Returns the id of an operator's request, from the digest of its content or from the id that the caller gave it. */
export function operatorRequestId(digestOrId: string): string {
  return `${OPERATOR_PREFIX}${digestOrId}`;
}

/** Whether an entry's id is that of an operator's request. */
export function isOperatorRequestId(id: string): boolean {
  return id.startsWith(OPERATOR_PREFIX);
}

/** Adds an applied change. `undo` reverts the configuration to the one that the newest numbered change was based on. */
export function recordChange(
  history: OperatorHistory,
  change: AppliedChange,
  undo: ConfigurationChange[] | null,
): void {
  history.changes.push(change);
  history.undo = undo;
  while (history.changes.length > MAX_APPLIED_CHANGES) dropOldestChange(history);
}

function dropOldestChange(history: OperatorHistory): void {
  const oldest = history.changes.shift();
  if (!oldest) return;
  history.forgottenVersion = Math.max(history.forgottenVersion, oldest.version);
  if (oldest.revision) history.forgottenNumber = Math.max(history.forgottenNumber, oldest.revision.number);
}

/** Adds an applied zone order. */
export function recordZoneOrder(history: OperatorHistory, zone: string, order: AppliedChange): void {
  setOwnValue(history.zoneVersions, zone, order.version);
  if (!isOperatorRequestId(order.request)) return;
  history.zoneOrders.push(order);
  if (history.zoneOrders.length > MAX_ZONE_ORDERS) history.zoneOrders.shift();
}

/**
 * Returns the slot of the newest order on a zone. An order based on that version is applied only if no other order on
 * the zone was applied in between.
 */
export function zoneVersion(history: OperatorHistory, zone: string): number {
  return Object.hasOwn(history.zoneVersions, zone) ? (ownValue(history.zoneVersions, zone) as number) : NO_ZONE_VERSION;
}

/** Returns the configuration change of a request, or null if it was not applied or is no longer in the history. */
export function findAppliedChange(history: OperatorHistory, request: string): AppliedChange | null {
  return findNewest(history.changes, request);
}

/** Returns the zone order of a request, or null if it was not applied or is no longer in the history. */
export function findAppliedZoneOrder(history: OperatorHistory, request: string): AppliedChange | null {
  return findNewest(history.zoneOrders, request);
}

function findNewest(changes: readonly AppliedChange[], request: string): AppliedChange | null {
  for (let i = changes.length - 1; i >= 0; i -= 1) {
    const change = changes[i] as AppliedChange;
    if (change.request === request) return change;
  }
  return null;
}

/** An applied change with revision numbers. */
export type NumberedChange = AppliedChange & { readonly revision: Revision };

function isNumbered(change: AppliedChange): change is NumberedChange {
  return change.revision !== undefined;
}

/** Returns the newest numbered change if it is still in force, else null. */
export function newestNumberedChange(history: OperatorHistory): NumberedChange | null {
  if (history.undo === null) return null;
  for (let i = history.changes.length - 1; i >= 0; i -= 1) {
    const change = history.changes[i] as AppliedChange;
    if (isNumbered(change)) return change;
  }
  return null;
}

/** Adds another request for the newest numbered change; false if that change has another number. */
export function recordRepeatedChange(history: OperatorHistory, request: string, number: number): boolean {
  const newest = newestNumberedChange(history);
  if (newest?.revision.number !== number) return false;
  if (!findAppliedChange(history, request)) recordChange(history, { ...newest, request }, history.undo);
  return true;
}

/** Whether a numbered change on `base` may have been applied but dropped from the history since. */
export function numberMayBeForgotten(history: OperatorHistory, base: number): boolean {
  return base < history.forgottenNumber;
}

/** Whether a change on version `base` of the configuration may have been applied but dropped from the history since. */
export function versionMayBeForgotten(history: OperatorHistory, base: number): boolean {
  return base < history.forgottenVersion;
}
