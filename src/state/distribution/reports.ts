/**
 * The newest report of each proxy, merged from whole ones and differences. A difference counts
 * only on exactly the report that it was made from; anything else is a gap, and the whole
 * report is asked for.
 */

import type { Report } from './report.js';

/** The newest report by reporter. */
export type Reports = Map<string, Report>;

/** What became of a report. */
export type ReportStep = 'merged' | 'old' | 'gap';

/** Whether `a` is of a later life, or later in the same life. */
export function newer(left: Report, right: Report): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation;
  return left.count > right.count;
}

/** Takes a report into the table. */
export function mergeReport(table: Reports, report: Report): ReportStep {
  const have = table.get(report.reporter);
  if (have && !newer(report, have)) return 'old';
  if (report.since === undefined) {
    table.set(report.reporter, report);
    return 'merged';
  }
  if (!have || have.run !== report.run || have.incarnation !== report.incarnation || have.count !== report.since)
    return 'gap';
  const complete: Report = { ...report, health: changedHealth(have.health, report.health, report.gone ?? []) };
  delete complete.since;
  delete complete.gone;
  table.set(report.reporter, complete);
  return 'merged';
}

function changedHealth(have: Report['health'], changed: Report['health'], gone: readonly string[]): Report['health'] {
  if (gone.length === 0 && Object.keys(changed).length === 0) return have;
  const out = { ...have, ...changed };
  for (const id of gone) delete out[id];
  return out;
}

/** The report as the difference to one already told; the whole one where there is none to build on. */
export function differenceTo(sent: Report | undefined, now: Report): Report {
  if (!sent || sent.run !== now.run || sent.incarnation !== now.incarnation || sent.count >= now.count) return now;
  const health: Report['health'] = {};
  const gone: string[] = [];
  if (sent.health !== now.health) {
    for (const [id, verdict] of Object.entries(now.health)) if (sent.health[id] !== verdict) health[id] = verdict;
    for (const id of Object.keys(sent.health)) if (now.health[id] === undefined) gone.push(id);
  }
  return { ...now, since: sent.count, health, ...(gone.length > 0 ? { gone } : {}) };
}
