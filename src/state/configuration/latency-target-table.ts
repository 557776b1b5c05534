/** Counts by minute, from running totals that proxies report. */
import { addCounts } from './latency-target-counts.js';
import type { Counts, CountTable } from './latency-target-counts.js';

/** One closed minute; `unknown` names reporters whose counts are missing in it. */
export type Minute = { readonly minute: number; readonly counts: CountTable; readonly unknown: readonly string[] };

/** The minutes of the last day. */
export interface LatencyTargetTable {
  record(reporter: string, incarnation: number, totals: CountTable, minute: number): void;
  recordOwn(subject: string, counts: Counts, minute: number): void;
  close(minute: number, known: readonly string[]): void;
  since(minute: number): readonly Minute[];
}

const KEPT_MINUTES = 24 * 60;

type Open = { counts: CountTable; heard: Set<string>; lost: Set<string> };

class MinuteLatencyTargetTable implements LatencyTargetTable {
  private minutes: Minute[] = [];
  private readonly lastTotals = new Map<string, { readonly incarnation: number; readonly totals: CountTable }>();
  private readonly open = new Map<number, Open>();

  private openOf(minute: number): Open {
    const have = this.open.get(minute);
    if (have) return have;
    const made: Open = { counts: {}, heard: new Set(), lost: new Set() };
    this.open.set(minute, made);
    return made;
  }

  record(reporter: string, incarnation: number, totals: CountTable, minute: number): void {
    const open = this.openOf(minute);
    const before = this.lastTotals.get(reporter);
    open.heard.add(reporter);
    if (before && before.incarnation !== incarnation) open.lost.add(reporter);
    if (before) {
      const base = before.incarnation === incarnation ? before.totals : {};
      for (const [subject, counts] of Object.entries(totals)) addCounts(open.counts, subject, counts, base[subject]);
    } else open.lost.add(reporter);
    this.lastTotals.set(reporter, { incarnation, totals });
  }

  recordOwn(subject: string, counts: Counts, minute: number): void {
    addCounts(this.openOf(minute).counts, subject, counts);
  }

  close(minute: number, known: readonly string[]): void {
    const open = this.openOf(minute);
    this.open.delete(minute);
    const unknown = new Set(open.lost);
    for (const name of known) if (!open.heard.has(name)) unknown.add(name);
    this.minutes.push({ minute, counts: open.counts, unknown: [...unknown].sort() });
    if (this.minutes.length > KEPT_MINUTES) this.minutes = this.minutes.slice(-KEPT_MINUTES);
  }

  since(minute: number): readonly Minute[] {
    const out: Minute[] = [];
    for (const row of this.minutes) if (row.minute >= minute) out.push(row);
    return out;
  }
}

/** An empty table. */
export function createLatencyTargetTable(): LatencyTargetTable {
  return new MinuteLatencyTargetTable();
}
