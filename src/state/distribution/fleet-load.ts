import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

export const LoadRowsShape = Type.Record(
  Type.String(),
  Type.Tuple([Type.Integer(), Type.Integer(), Type.Integer(), Type.Integer(), Type.Integer()]),
);
export type LoadRows = Static<typeof LoadRowsShape>;

export const ReportedLoadShape = Type.Object({
  name: Type.String(),
  run: Type.String(),
  count: Type.Integer(),
  rows: LoadRowsShape,
});
export type ReportedLoad = Static<typeof ReportedLoadShape>;

type TimedReport = { readonly report: ReportedLoad; readonly at: number };

export interface FleetLoad {
  record(report: ReportedLoad, now: number): boolean;
  sums(now: number): LoadRows;
}

class ReportedFleetLoad implements FleetLoad {
  private readonly reports = new Map<string, TimedReport>();

  constructor(private readonly staleMs: number) {}

  record(report: ReportedLoad, now: number): boolean {
    const have = this.reports.get(report.name);
    if (have && have.report.run === report.run && have.report.count >= report.count) return false;
    this.reports.set(report.name, { report, at: now });
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

export function createFleetLoad(staleMs: number): FleetLoad {
  return new ReportedFleetLoad(staleMs);
}

export type LoadRow = LoadRows[string];

function addTo(out: LoadRows, id: string, row: LoadRow): void {
  const had = out[id];
  out[id] = had ? [had[0] + row[0], had[1] + row[1], had[2] + row[2], had[3] + row[3], had[4] + row[4]] : [...row];
}

export function sumOf(left: LoadRows, right: LoadRows): LoadRows {
  const out: LoadRows = { ...left };
  for (const [id, row] of Object.entries(right)) addTo(out, id, row);
  return out;
}
