import { judge } from './check.js';
import { BOUNDS } from './facts.js';
import type { Bounds, Verdict } from './facts.js';
import { onlyOf } from './records.js';
import type { Rec } from './records.js';
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
  for (const [name, c] of counts) {
    served += c.served;
    asked += c.asked;
    lines.push(
      `${name.padEnd(10)} ${c.served} of ${c.asked} served, first byte ${percentile(c.firstMs, 0.5)} / ${percentile(c.firstMs, 0.99)} ms (p50 / p99)`,
    );
  }
  const arrivals = onlyOf(records, 'arrived');
  const probes = arrivals.filter(isProbe).length;
  lines.push(
    `${arrivals.length - probes} arrivals at workers, ${onlyOf(records, 'ran').length} runs, ${probes} health probes, ${site.list.calls()} calls to the list`,
  );
  const halves = onlyOf(records, 'finished').filter(isHalf).length;
  const again = arrivals.filter(isResumed).length;
  lines.push(`${halves} runs left half done, ${again} arrivals that go on behind an event`);
  const ends = endsOf(records);
  if (ends !== '') lines.push(`answers that are no success: ${ends}`);
  lines.push(...cutsIn(records));
  for (const e of site.ownEnds()) lines.push(`${e.name} ended by itself (${e.code ?? e.signal})`);
  for (const v of verdicts.slice(0, MOST_TOLD)) lines.push(`${v.rule}: ${v.text}`);
  if (verdicts.length > MOST_TOLD) lines.push(`and ${verdicts.length - MOST_TOLD} more`);
  lines.push(verdicts.length === 0 ? 'No rule broken.' : `${verdicts.length} verdicts against rules.`);
  return { verdicts, served, asked, text: lines.join('\n') };
}

function endsOf(records: readonly Rec[]): string {
  const counts = new Map<string, number>();
  for (const a of onlyOf(records, 'answered')) {
    if (a.end === 'whole' && a.status >= 200 && a.status < 300) continue;
    const key =
      a.end === 'whole'
        ? `${a.status}${a.seal === null ? '' : ' of a worker'}`
        : `${a.end}${a.status === 0 ? '' : ` in ${a.status}`}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(told).join(', ');
}
function cutsIn(records: readonly Rec[]): readonly string[] {
  const out: string[] = [];
  for (const a of onlyOf(records, 'answered'))
    if (a.end === 'cut' && out.length < MOST_TOLD) out.push(`  cut: ${storyOf(records, a.attempt)}`);
  return out;
}
function storyOf(records: readonly Rec[], attempt: string): string {
  const visits = new Set<string>();
  const steps: string[] = [];
  for (const r of records) {
    if (r.what === 'arrived' && r.attempt === attempt) visits.add(r.visit);
    const mine = ('attempt' in r && r.attempt === attempt) || ('visit' in r && visits.has(r.visit));
    if (!mine) continue;
    const where =
      r.what === 'asked'
        ? ` ${r.path} at ${r.edge}`
        : r.what === 'arrived'
          ? ` at ${r.worker}`
          : r.what === 'finished'
            ? ` ${r.end}`
            : '';
    steps.push(`${Math.round(r.at)} ${r.what}${where}`);
  }
  return steps.join(', ');
}
function told([key, n]: readonly [string, number]): string {
  return `${key} x ${n}`;
}

function isHalf(f: { readonly end: string }): boolean {
  return f.end !== 'whole';
}
function isResumed(a: { readonly lastEvent: number }): boolean {
  return a.lastEvent > 0;
}
function isProbe(a: { readonly probe: boolean }): boolean {
  return a.probe;
}
function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort(rising);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}
function rising(a: number, b: number): number {
  return a - b;
}
