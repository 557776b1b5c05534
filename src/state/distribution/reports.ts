/**
 * The newest report of each proxy, merged from complete reports and deltas. A delta applies only to exactly the report
 * it was computed from; anything else is a gap, and the complete report is requested.
 */

import type { Report } from './report.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/** The newest report by reporter. */
export type Reports = Map<string, Report>;

/**
 * The result of merging a report: `old` if the stored one is as new or newer, `gap` if the base of a delta is missing.
 */
export type MergeOutcome = 'merged' | 'old' | 'gap';

/** Whether `left` is of a later incarnation than `right`, or has a higher count in the same incarnation. */
export function isNewer(left: Report, right: Report): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation;
  return left.count > right.count;
}

/** Merges a report into the table. */
export function mergeReport(table: Reports, report: Report): MergeOutcome {
  const previous = table.get(report.reporter);
  if (previous && !isNewer(report, previous)) return 'old';
  if (report.since === undefined) {
    table.set(report.reporter, report);
    return 'merged';
  }
  if (
    !previous ||
    previous.run !== report.run ||
    previous.incarnation !== report.incarnation ||
    previous.count !== report.since
  )
    return 'gap';
  const complete: Report = { ...report, health: applyHealthChanges(previous.health, report.health, report.gone ?? []) };
  delete complete.since;
  delete complete.gone;
  table.set(report.reporter, complete);
  return 'merged';
}

function applyHealthChanges(
  previous: Report['health'],
  changed: Report['health'],
  removed: readonly string[],
): Report['health'] {
  if (removed.length === 0 && Object.keys(changed).length === 0) return previous;
  const merged = { ...previous, ...changed };
  for (const id of removed) delete merged[id];
  return merged;
}

/** Returns the report as a delta to the one sent before; the complete report if that one can't be its base. */
export function deltaSince(sent: Report | undefined, current: Report): Report {
  if (!sent || sent.run !== current.run || sent.incarnation !== current.incarnation || sent.count >= current.count)
    return current;
  const health: Report['health'] = {};
  const removed: string[] = [];
  if (sent.health !== current.health) {
    for (const [id, status] of Object.entries(current.health))
      if (ownValue(sent.health, id) !== status) setOwnValue(health, id, status);
    for (const id of Object.keys(sent.health)) if (ownValue(current.health, id) === undefined) removed.push(id);
  }
  return { ...current, since: sent.count, health, ...(removed.length > 0 ? { gone: removed } : {}) };
}
