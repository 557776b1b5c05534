/** Loads on workers, summed over proxies. */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { LoadRowsShape, withChanges } from './load-rows.js';
import type { LoadRow, LoadRows } from './load-rows.js';

/** The loads that one node reports; `run` and `count` order its reports. A partial report has only the rows that changed since the one before. */
export const ReportedLoadShape = Type.Object({
  name: Type.String(),
  run: Type.String(),
  count: Type.Integer(),
  rows: LoadRowsShape,
  partial: Type.Optional(Type.Boolean()),
});
/** A checked report. */
export type ReportedLoad = Static<typeof ReportedLoadShape>;

type TimedReport = { readonly report: ReportedLoad; readonly at: number };

/** The newest report of each node, and their sum. */
export interface FleetLoad {
  record(report: ReportedLoad, now: number): boolean;
  sums(now: number): LoadRows;
}

class ReportedFleetLoad implements FleetLoad {
  private readonly reports = new Map<string, TimedReport>();

  constructor(private readonly staleMs: number) {}

  record(report: ReportedLoad, now: number): boolean {
    const have = this.reports.get(report.name);
    const sameRun = have !== undefined && have.report.run === report.run;
    if (sameRun && have.report.count >= report.count) return false;
    if (!report.partial) {
      this.reports.set(report.name, { report, at: now });
      return true;
    }
    if (!sameRun || have.report.count + 1 !== report.count) return false;
    const rows = withChanges(have.report.rows, report.rows);
    this.reports.set(report.name, { report: { ...report, rows }, at: now });
    return true;
  }

  sums(now: number): LoadRows {
    const out: LoadRows = {};
    for (const [name, timedReport] of this.reports) {
      if (now - timedReport.at > this.staleMs) {
        this.reports.delete(name);
        continue;
      }
      for (const [id, row] of Object.entries(timedReport.report.rows)) addTo(out, id, row);
    }
    return out;
  }
}

/** Reports older than `staleMs` milliseconds are dropped. */
export function createFleetLoad(staleMs: number): FleetLoad {
  return new ReportedFleetLoad(staleMs);
}

function addTo(out: LoadRows, id: string, row: LoadRow): void {
  const had = out[id];
  out[id] = had ? [had[0] + row[0], had[1] + row[1], had[2] + row[2], had[3] + row[3], had[4] + row[4]] : [...row];
}

/** The sum of two tables. */
export function sumOf(left: LoadRows, right: LoadRows): LoadRows {
  const out: LoadRows = { ...left };
  for (const [id, row] of Object.entries(right)) addTo(out, id, row);
  return out;
}
