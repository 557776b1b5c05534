/** Load on each worker, summed over the proxies. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { LoadRowsShape, applyRowChanges } from './load-rows.js';
import type { LoadRow, LoadRows } from './load-rows.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/**
 * The load that one node reports. `run` identifies the process and `count` numbers its reports. A partial report
 * contains only the rows that changed since the report before it.
 */
export const ReportedLoadShape = Type.Object({
  name: Type.String(),
  run: Type.String(),
  count: Type.Integer(),
  rows: LoadRowsShape,
  partial: Type.Optional(Type.Boolean()),
});
/** A report that matches the schema. */
export type ReportedLoad = Static<typeof ReportedLoadShape>;

type TimedReport = { readonly report: ReportedLoad; readonly at: number };

/** Keeps the newest report of each node and sums them. Times are in milliseconds of the monotonic clock. */
export interface FleetLoad {
  /** Returns false for a report that is not newer than the stored one, and for a partial one that skips a count. */
  record(report: ReportedLoad, now: number): boolean;
  /** Sums the reports by worker, and drops the stale ones. */
  sums(now: number): LoadRows;
}

class ReportedFleetLoad implements FleetLoad {
  private readonly reports = new Map<string, TimedReport>();

  constructor(private readonly staleMs: number) {}

  record(report: ReportedLoad, now: number): boolean {
    const previous = this.reports.get(report.name);
    const sameRun = previous !== undefined && previous.report.run === report.run;
    if (sameRun && previous.report.count >= report.count) return false;
    if (!report.partial) {
      this.reports.set(report.name, { report, at: now });
      return true;
    }
    if (!sameRun || previous.report.count + 1 !== report.count) return false;
    const rows = applyRowChanges(previous.report.rows, report.rows);
    this.reports.set(report.name, { report: { ...report, rows }, at: now });
    return true;
  }

  sums(now: number): LoadRows {
    const totals: LoadRows = {};
    for (const [name, timedReport] of this.reports) {
      if (now - timedReport.at > this.staleMs) {
        this.reports.delete(name);
        continue;
      }
      for (const [id, row] of Object.entries(timedReport.report.rows)) addRow(totals, id, row);
    }
    return totals;
  }
}

/** Creates an empty table that drops reports older than `staleMs` milliseconds. */
export function createFleetLoad(staleMs: number): FleetLoad {
  return new ReportedFleetLoad(staleMs);
}

function addRow(totals: LoadRows, id: string, row: LoadRow): void {
  const previous = ownValue(totals, id);
  setOwnValue(
    totals,
    id,
    previous
      ? [previous[0] + row[0], previous[1] + row[1], previous[2] + row[2], previous[3] + row[3], previous[4] + row[4]]
      : [...row],
  );
}

/** Returns the sum of two tables by worker. */
export function sumLoadRows(left: LoadRows, right: LoadRows): LoadRows {
  const totals: LoadRows = { ...left };
  for (const [id, row] of Object.entries(right)) addRow(totals, id, row);
  return totals;
}
