/**
 * Counts of requests by outcome and time, as they are reported and summed. Histograms have fixed bounds, so that
 * counts of all nodes add up.
 */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** Upper bounds of the histogram's buckets, in milliseconds; the last bucket has none. */
export const BOUNDS_MS = [25, 50, 100, 200, 300, 500, 1_000, 2_000, 3_000, 5_000, 10_000, 30_000, 60_000] as const;

const Numbers = Type.Array(Type.Integer({ minimum: 0 }), {
  minItems: BOUNDS_MS.length + 1,
  maxItems: BOUNDS_MS.length + 1,
});
/** Counts of one subject: outcomes, time to the first event, time to the complete answer. */
export const CountsShape = Type.Object({
  good: Type.Integer(),
  shed: Type.Integer(),
  failed: Type.Integer(),
  first: Numbers,
  whole: Numbers,
});
/** Checked counts. */
export type Counts = Static<typeof CountsShape>;
/** Counts by subject: a model, a route, or the changes. */
export type CountTable = Record<string, Counts>;

/** How one request ended; times in milliseconds, null where they don't apply. */
export type Ended = {
  readonly outcome: 'good' | 'shed' | 'failed';
  readonly firstMs: number | null;
  readonly wholeMs: number | null;
};

/** Counts of nothing. */
export function noCounts(): Counts {
  return { good: 0, shed: 0, failed: 0, first: zeros(), whole: zeros() };
}
function zeros(): number[] {
  return new Array<number>(BOUNDS_MS.length + 1).fill(0);
}

/** Adds one request to a subject's counts. */
export function recordIn(table: CountTable, subject: string, ended: Ended): void {
  const counts = (table[subject] ??= noCounts());
  counts[ended.outcome] += 1;
  if (ended.firstMs !== null) bump(counts.first, ended.firstMs);
  if (ended.wholeMs !== null) bump(counts.whole, ended.wholeMs);
}
function bump(buckets: number[], ms: number): void {
  let at = 0;
  while (at < BOUNDS_MS.length && ms > (BOUNDS_MS[at] as number)) at += 1;
  buckets[at] = (buckets[at] as number) + 1;
}

/** Adds counts to a subject's sum, less those that were added before. */
export function addCounts(to: CountTable, subject: string, counts: Counts, minus: Counts = noCounts()): void {
  const sum = (to[subject] ??= noCounts());
  for (const key of ['good', 'shed', 'failed'] as const) sum[key] += Math.max(0, counts[key] - minus[key]);
  for (const key of ['first', 'whole'] as const)
    for (let i = 0; i <= BOUNDS_MS.length; i += 1)
      sum[key][i] = (sum[key][i] as number) + Math.max(0, (counts[key][i] as number) - (minus[key][i] as number));
}

/** How many of a histogram took at most `ms`, and how many there are. */
export function within(buckets: readonly number[], ms: number): { readonly good: number; readonly all: number } {
  let good = 0;
  let all = 0;
  for (let i = 0; i < buckets.length; i += 1) {
    const count = buckets[i] as number;
    all += count;
    if (i < BOUNDS_MS.length && (BOUNDS_MS[i] as number) <= ms) good += count;
  }
  return { good, all };
}

/** The subject of a route. */
export function routeSubject(mapping: string): string {
  return `mapping ${mapping}`;
}
/** The subject of configuration changes. */
export const CHANGES_SUBJECT = 'changes';
