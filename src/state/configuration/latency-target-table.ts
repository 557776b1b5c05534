/** Counts by minute, computed from the running totals that proxies report. */
import { addCounts } from './latency-target-counts.js';
import type { Counts, CountTable } from './latency-target-counts.js';
import { ownValue } from '../../base/own-value.js';

/** One closed minute; `unknown` names the reporters whose counts are missing or incomplete in it. */
export type Minute = { readonly minute: number; readonly counts: CountTable; readonly unknown: readonly string[] };

/** The counts of each minute of the last day. */
export interface LatencyTargetTable {
  record(reporter: string, incarnation: number, totals: CountTable, minute: number): void;
  recordOwn(subject: string, counts: Counts, minute: number): void;
  close(minute: number, expectedReporters: readonly string[]): void;
  since(minute: number): readonly Minute[];
}

const RETAINED_MINUTES = 24 * 60;

/**
 * `incomplete` names reporters without earlier totals of the same incarnation, so that counts of theirs may be missing
 * in the minute.
 */
type OpenMinute = { counts: CountTable; reporters: Set<string>; incomplete: Set<string> };

class MinuteLatencyTargetTable implements LatencyTargetTable {
  private minutes: Minute[] = [];
  private readonly lastTotals = new Map<string, { readonly incarnation: number; readonly totals: CountTable }>();
  private readonly openMinutes = new Map<number, OpenMinute>();

  private openMinute(minute: number): OpenMinute {
    const existing = this.openMinutes.get(minute);
    if (existing) return existing;
    const created: OpenMinute = { counts: {}, reporters: new Set(), incomplete: new Set() };
    this.openMinutes.set(minute, created);
    return created;
  }

  record(reporter: string, incarnation: number, totals: CountTable, minute: number): void {
    const current = this.openMinute(minute);
    const previous = this.lastTotals.get(reporter);
    current.reporters.add(reporter);
    if (previous && previous.incarnation !== incarnation) current.incomplete.add(reporter);
    if (previous) {
      const baseTotals = previous.incarnation === incarnation ? previous.totals : {};
      for (const [subject, counts] of Object.entries(totals))
        addCounts(current.counts, subject, counts, ownValue(baseTotals, subject));
    } else current.incomplete.add(reporter);
    this.lastTotals.set(reporter, { incarnation, totals });
  }

  recordOwn(subject: string, counts: Counts, minute: number): void {
    addCounts(this.openMinute(minute).counts, subject, counts);
  }

  close(minute: number, expectedReporters: readonly string[]): void {
    const current = this.openMinute(minute);
    this.openMinutes.delete(minute);
    const unknown = new Set(current.incomplete);
    for (const name of expectedReporters) if (!current.reporters.has(name)) unknown.add(name);
    this.minutes.push({ minute, counts: current.counts, unknown: [...unknown].sort() });
    if (this.minutes.length > RETAINED_MINUTES) this.minutes = this.minutes.slice(-RETAINED_MINUTES);
  }

  since(minute: number): readonly Minute[] {
    const found: Minute[] = [];
    for (const row of this.minutes) if (row.minute >= minute) found.push(row);
    return found;
  }
}

/** Creates an empty table. */
export function createLatencyTargetTable(): LatencyTargetTable {
  return new MinuteLatencyTargetTable();
}
