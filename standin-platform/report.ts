import { judge } from './check.js';
import { BOUNDS } from './facts.js';
import type { Bounds, Verdict } from './facts.js';
import { recordsOfType } from './records.js';
import type { JournalRecord } from './records.js';
import type { Count, Site } from './site.js';

export type SiteReport = {
  readonly verdicts: readonly Verdict[];
  readonly served: number;
  readonly asked: number;
  readonly text: string;
};

const MOST_TOLD = 12;

export function reportOf(site: Site, counts: ReadonlyMap<string, Count>, bounds: Bounds = BOUNDS): SiteReport {
  const records = site.records.all();
  const verdicts = judge(records, bounds);
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
    `${arrivals.length - probes} arrivals at workers, ${recordsOfType(records, 'ran').length} runs, ${probes} health probes, ${site.list.requestCount()} calls to the list`,
  );
  const halves = recordsOfType(records, 'finished').filter(isHalf).length;
  const again = arrivals.filter(isResumed).length;
  lines.push(`${halves} runs left half done, ${again} arrivals that go on behind an event`);
  const ends = endsOf(records);
  if (ends !== '') lines.push(`answers that are no success: ${ends}`);
  lines.push(...cutsIn(records));
  for (const end of site.ownEnds()) lines.push(`${end.name} ended by itself (${end.code ?? end.signal})`);
  for (const verdict of verdicts.slice(0, MOST_TOLD)) lines.push(`${verdict.rule}: ${verdict.text}`);
  if (verdicts.length > MOST_TOLD) lines.push(`and ${verdicts.length - MOST_TOLD} more`);
  lines.push(verdicts.length === 0 ? 'No rule broken.' : `${verdicts.length} verdicts against rules.`);
  return { verdicts, served, asked, text: lines.join('\n') };
}

function endsOf(records: readonly JournalRecord[]): string {
  const counts = new Map<string, number>();
  for (const answered of recordsOfType(records, 'answered')) {
    if (answered.end === 'whole' && answered.status >= 200 && answered.status < 300) continue;
    const key =
      answered.end === 'whole'
        ? `${answered.status}${answered.seal === null ? '' : ' of a worker'}`
        : `${answered.end}${answered.status === 0 ? '' : ` in ${answered.status}`}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(told).join(', ');
}
function cutsIn(records: readonly JournalRecord[]): readonly string[] {
  const out: string[] = [];
  for (const answered of recordsOfType(records, 'answered'))
    if (answered.end === 'cut' && out.length < MOST_TOLD) out.push(`  cut: ${storyOf(records, answered.attempt)}`);
  return out;
}
function storyOf(records: readonly JournalRecord[], attempt: string): string {
  const visits = new Set<string>();
  const steps: string[] = [];
  for (const rec of records) {
    if (rec.what === 'arrived' && rec.attempt === attempt) visits.add(rec.visit);
    const mine = ('attempt' in rec && rec.attempt === attempt) || ('visit' in rec && visits.has(rec.visit));
    if (!mine) continue;
    const where =
      rec.what === 'asked'
        ? ` ${rec.path} at ${rec.edge}`
        : rec.what === 'arrived'
          ? ` at ${rec.worker}`
          : rec.what === 'finished'
            ? ` ${rec.end}`
            : '';
    steps.push(`${Math.round(rec.at)} ${rec.what}${where}`);
  }
  return steps.join(', ');
}
function told([key, count]: readonly [string, number]): string {
  return `${key} x ${count}`;
}

function isHalf(f: { readonly end: string }): boolean {
  return f.end !== 'whole';
}
function isResumed(first: { readonly lastEvent: number }): boolean {
  return first.lastEvent > 0;
}
function isProbe(first: { readonly probe: boolean }): boolean {
  return first.probe;
}
function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort(rising);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}
function rising(left: number, right: number): number {
  return left - right;
}
