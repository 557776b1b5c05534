/** Summarizes a run for people: what was served, how requests failed, and which rules were violated. */
import { checkRules } from './check.js';
import { BOUNDS } from './facts.js';
import type { Bounds, RuleViolation } from './facts.js';
import { recordsOfType } from './records.js';
import type { JournalRecord } from './records.js';
import type { RequestCount, Site } from './site.js';

/** The result of a run: rule violations, request counts, and a text for people. */
export type SiteReport = {
  readonly violations: readonly RuleViolation[];
  readonly served: number;
  readonly asked: number;
  readonly text: string;
};

const MAX_LISTED = 12;

/** Checks the records of a run and summarizes them. */
export function reportOf(site: Site, counts: ReadonlyMap<string, RequestCount>, bounds: Bounds = BOUNDS): SiteReport {
  const records = site.records.all();
  const violations = checkRules(records, bounds);
  const lines: string[] = [];
  let served = 0;
  let asked = 0;
  for (const [name, count] of counts) {
    served += count.served;
    asked += count.asked;
    lines.push(
      `${name.padEnd(10)} ${count.served} of ${count.asked} served, first byte ${percentile(count.firstMs, 0.5)} / ${percentile(count.firstMs, 0.99)} ms (p50 / p99)`,
    );
  }
  const arrivals = recordsOfType(records, 'arrived');
  const probes = arrivals.filter(isProbe).length;
  lines.push(
    `${arrivals.length - probes} arrivals at workers, ${recordsOfType(records, 'ran').length} runs, ${probes} health probes, ${site.list.requestCount()} requests for the worker list`,
  );
  const incompleteRuns = recordsOfType(records, 'finished').filter(isIncomplete).length;
  const resumedArrivals = arrivals.filter(isResumed).length;
  lines.push(`${incompleteRuns} incomplete runs, ${resumedArrivals} arrivals that resume a stream after an event`);
  const failures = failureSummary(records);
  if (failures !== '') lines.push(`responses other than success: ${failures}`);
  lines.push(...truncatedResponses(records));
  for (const exit of site.unexpectedExits())
    lines.push(`${exit.name} exited unexpectedly (${exit.code ?? exit.signal})`);
  for (const violation of violations.slice(0, MAX_LISTED)) lines.push(`${violation.rule}: ${violation.text}`);
  if (violations.length > MAX_LISTED) lines.push(`and ${violations.length - MAX_LISTED} more`);
  lines.push(violations.length === 0 ? 'No rule broken.' : `${violations.length} rule violations.`);
  return { violations, served, asked, text: lines.join('\n') };
}

/** Counts the responses other than success by status or kind of failure. */
function failureSummary(records: readonly JournalRecord[]): string {
  const counts = new Map<string, number>();
  for (const answered of recordsOfType(records, 'answered')) {
    if (answered.end === 'whole' && answered.status >= 200 && answered.status < 300) continue;
    const key =
      answered.end === 'whole'
        ? `${answered.status}${answered.seal === null ? '' : ' from a worker'}`
        : `${answered.end}${answered.status === 0 ? '' : ` with status ${answered.status}`}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(formatCount).join(', ');
}
function truncatedResponses(records: readonly JournalRecord[]): readonly string[] {
  const lines: string[] = [];
  for (const answered of recordsOfType(records, 'answered'))
    if (answered.end === 'cut' && lines.length < MAX_LISTED)
      lines.push(`  truncated: ${attemptHistory(records, answered.attempt)}`);
  return lines;
}
/** All records of an attempt on one line, with their times. */
function attemptHistory(records: readonly JournalRecord[], attempt: string): string {
  const visits = new Set<string>();
  const steps: string[] = [];
  for (const rec of records) {
    if (rec.what === 'arrived' && rec.attempt === attempt) visits.add(rec.visit);
    const isOfAttempt = ('attempt' in rec && rec.attempt === attempt) || ('visit' in rec && visits.has(rec.visit));
    if (!isOfAttempt) continue;
    const detail =
      rec.what === 'asked'
        ? ` ${rec.path} at ${rec.edge}`
        : rec.what === 'arrived'
          ? ` at ${rec.worker}`
          : rec.what === 'finished'
            ? ` ${rec.end}`
            : '';
    steps.push(`${Math.round(rec.at)} ${rec.what}${detail}`);
  }
  return steps.join(', ');
}
function formatCount([key, count]: readonly [string, number]): string {
  return `${key} x ${count}`;
}

function isIncomplete(finished: { readonly end: string }): boolean {
  return finished.end !== 'whole';
}
function isResumed(arrived: { readonly lastEvent: number }): boolean {
  return arrived.lastEvent > 0;
}
function isProbe(arrived: { readonly probe: boolean }): boolean {
  return arrived.probe;
}
function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort(ascending);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}
function ascending(left: number, right: number): number {
  return left - right;
}
