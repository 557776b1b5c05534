/**
 * Counts of requests by outcome and latency, in the form in which they are reported and summed. The histograms have
 * fixed bucket bounds, so that counts of different nodes can be added.
 */
import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { ownValue, setOwnValue } from '../../base/own-value.js';

/** Upper bounds of the histogram buckets, in milliseconds. One more bucket, without a bound, follows them. */
export const BUCKET_BOUNDS_MS = [
  25, 50, 100, 200, 300, 500, 1_000, 2_000, 3_000, 5_000, 10_000, 30_000, 60_000,
] as const;

const BucketCounts = Type.Array(Type.Integer({ minimum: 0 }), {
  minItems: BUCKET_BOUNDS_MS.length + 1,
  maxItems: BUCKET_BOUNDS_MS.length + 1,
});
/** Counts of one subject: outcomes, and histograms of the time to the first event and to the complete response. */
export const CountsShape = Type.Object({
  good: Type.Integer(),
  shed: Type.Integer(),
  failed: Type.Integer(),
  first: BucketCounts,
  whole: BucketCounts,
});
/** Validated counts. */
export type Counts = Static<typeof CountsShape>;
/** Counts by subject: a model, a route, or configuration changes. */
export type CountTable = Record<string, Counts>;

/** The outcome of one request; times are in milliseconds, and null where they do not apply. */
export type RequestOutcome = {
  readonly outcome: 'good' | 'shed' | 'failed';
  readonly firstMs: number | null;
  readonly wholeMs: number | null;
};

/** Creates counts that are all 0. */
export function emptyCounts(): Counts {
  return { good: 0, shed: 0, failed: 0, first: emptyBuckets(), whole: emptyBuckets() };
}
function emptyBuckets(): number[] {
  return new Array<number>(BUCKET_BOUNDS_MS.length + 1).fill(0);
}

function countsOf(table: CountTable, subject: string): Counts {
  const known = ownValue(table, subject);
  if (known) return known;
  const added = emptyCounts();
  setOwnValue(table, subject, added);
  return added;
}

/** Counts one request for a subject. */
export function countOutcome(table: CountTable, subject: string, ended: RequestOutcome): void {
  const counts = countsOf(table, subject);
  counts[ended.outcome] += 1;
  if (ended.firstMs !== null) incrementBucket(counts.first, ended.firstMs);
  if (ended.wholeMs !== null) incrementBucket(counts.whole, ended.wholeMs);
}
function incrementBucket(buckets: number[], durationMs: number): void {
  let index = 0;
  while (index < BUCKET_BOUNDS_MS.length && durationMs > (BUCKET_BOUNDS_MS[index] as number)) index += 1;
  buckets[index] = (buckets[index] as number) + 1;
}

/** Adds counts to a subject's sum. `alreadyAdded` is subtracted first; a difference below 0 counts as 0. */
export function addCounts(
  table: CountTable,
  subject: string,
  counts: Counts,
  alreadyAdded: Counts = emptyCounts(),
): void {
  const sum = countsOf(table, subject);
  for (const key of ['good', 'shed', 'failed'] as const) sum[key] += Math.max(0, counts[key] - alreadyAdded[key]);
  for (const key of ['first', 'whole'] as const)
    for (let i = 0; i <= BUCKET_BOUNDS_MS.length; i += 1)
      sum[key][i] =
        (sum[key][i] as number) + Math.max(0, (counts[key][i] as number) - (alreadyAdded[key][i] as number));
}

/** Returns how many requests of a histogram took at most `maxMs` (`good`), and how many it holds (`all`). */
export function countWithin(
  buckets: readonly number[],
  maxMs: number,
): { readonly good: number; readonly all: number } {
  let good = 0;
  let all = 0;
  for (let i = 0; i < buckets.length; i += 1) {
    const count = buckets[i] as number;
    all += count;
    if (i < BUCKET_BOUNDS_MS.length && (BUCKET_BOUNDS_MS[i] as number) <= maxMs) good += count;
  }
  return { good, all };
}

/** Returns the subject under which requests of a route are counted. */
export function routeSubject(route: string): string {
  return `mapping ${route}`;
}
/** The subject under which configuration changes are counted. */
export const CHANGES_SUBJECT = 'changes';
