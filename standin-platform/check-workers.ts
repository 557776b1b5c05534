import { MODEL, DOCUMENT } from '../platform/words.js';
import type { Facts, Note, Visit } from './facts.js';
import { onlyOf } from './records.js';

function counts(v: Visit): boolean {
  return !v.arrived.probe && v.refused?.status !== 421;
}
function edgeOf(f: Facts, v: Visit): string {
  return f.requests.get(v.arrived.attempt ?? '')?.asked.edge ?? '';
}

export function checkDrain(f: Facts, note: Note): void {
  const listed = new Map<string, number>();
  for (const l of onlyOf(f.records, 'listed'))
    if (l.phase !== 'serving' && !listed.has(l.worker)) listed.set(l.worker, l.at);
  for (const v of f.visits) {
    const at = listed.get(v.arrived.worker);
    if (at === undefined || !counts(v)) continue;
    const until = at + f.bounds.drainCutoffMs + listTrouble(f, at, v.arrived.at);
    if (v.arrived.at > until && f.inTouch(edgeOf(f, v), v.arrived.at))
      note(
        'DRAIN',
        `${v.arrived.worker} got ${v.arrived.attempt} ${Math.round(v.arrived.at - at)} ms after the list told that it leaves`,
      );
  }
}
function listTrouble(f: Facts, from: number, until: number): number {
  let since: number | null = null;
  let sum = 0;
  for (const t of onlyOf(f.records, 'listTrouble')) {
    if (t.on && since === null) since = t.at;
    if (!t.on && since !== null) {
      sum += Math.max(0, Math.min(t.at, until) - Math.max(since, from));
      since = null;
    }
  }
  return since === null ? sum : sum + Math.max(0, until - Math.max(since, from));
}

export function checkEvac(f: Facts, note: Note): void {
  for (const e of f.emptyings) {
    for (const v of f.visits) {
      const at = v.arrived.at;
      if (v.arrived.zone !== e.zone || !counts(v) || at <= e.from + f.bounds.evacuateWithinMs || at >= e.until)
        continue;
      if (f.inTouch(edgeOf(f, v), at))
        note(
          'EVAC',
          `${v.arrived.worker} in ${e.zone} got ${v.arrived.attempt} ${Math.round(at - e.from)} ms after the evacuation`,
        );
    }
  }
}

export function checkHome(f: Facts, note: Note): void {
  for (const v of f.visits) {
    const asked = f.requests.get(v.arrived.attempt ?? '')?.asked;
    if (!asked || v.arrived.probe) continue;
    const maps = f.mappings(asked);
    if (maps.length === 0) continue;
    let allowed = false;
    for (const m of maps) if (m.homes.length === 0 || m.homes.includes(v.arrived.region)) allowed = true;
    if (!allowed)
      note('HOME', `${v.arrived.worker} in ${v.arrived.region} got ${asked.attempt}, whose homes leave it out`);
  }
}

export function checkFailback(f: Facts, note: Note): void {
  const rates = coldRates(f);
  for (const l of onlyOf(f.records, 'life')) {
    const rate = rates.get(l.model) ?? 0;
    if ((l.event !== 'started' && l.event !== 'cold') || l.coldMs <= 0 || rate <= 0) continue;
    const most = rate * f.bounds.coldExcess + f.bounds.coldMargin;
    const times: number[] = [];
    let worst = 0;
    for (const v of f.visits) {
      const at = v.arrived.at;
      if (v.arrived.worker !== l.worker || !counts(v) || at < l.at || at > l.at + l.coldMs) continue;
      const asked = f.requests.get(v.arrived.attempt ?? '')?.asked;
      times.push(at);
      while (times.length > 0 && at - (times[0] ?? at) > 1_000) times.shift();
      if (asked && at - asked.at <= 1_000) worst = Math.max(worst, times.length);
    }
    if (worst > most) note('FAILBACK', `${l.worker}, cold, got ${worst} requests in a second, of ${most} it bears`);
  }
}
function coldRates(f: Facts): ReadonlyMap<string, number> {
  const out = new Map<string, number>();
  for (const v of f.versions) {
    const models = (v.document as Readonly<Record<string, unknown>>)[DOCUMENT.models];
    for (const m of Array.isArray(models) ? (models as readonly Readonly<Record<string, unknown>>[]) : [])
      out.set(String(m[MODEL.name]), Number(m[MODEL.coldRateS] ?? 0));
  }
  return out;
}

export function checkBudget(f: Facts, note: Note): void {
  const windowMs = f.bounds.retryWindowS * 1_000;
  const extra = new Map<string, number[]>();
  const seen = new Set<string>();
  for (const v of f.visits) {
    const id = v.arrived.attempt;
    if (v.arrived.probe || id === null) continue;
    const key = `${v.arrived.model} ${id}`;
    if (seen.has(key)) push(extra, v.arrived.model, v.arrived.at);
    seen.add(key);
  }
  const asked = new Map<string, number[]>();
  for (const r of f.requests.values()) {
    const models = new Set<string>();
    for (const m of f.mappings(r.asked)) for (const s of m.shares) models.add(s.model);
    for (const model of models) push(asked, model, r.asked.at);
  }
  for (const [model, times] of extra) {
    for (const end of times) {
      const further = within(times, end - windowMs, end);
      const own = asked.get(model) ?? [];
      const requests = Math.max(
        within(own, end - windowMs, end),
        within(own, end - 2 * windowMs, end - windowMs),
        within(own, end - 1.5 * windowMs, end - 0.5 * windowMs),
      );
      const most = f.bounds.retryRatio * requests + f.bounds.retrySlack;
      if (further <= most) continue;
      note(
        'BUDGET',
        `${model} got ${further} further arrivals in ${f.bounds.retryWindowS} s, of ${Math.floor(most)} allowed`,
      );
      break;
    }
  }
}
function push(into: Map<string, number[]>, key: string, at: number): void {
  const list = into.get(key) ?? [];
  list.push(at);
  into.set(key, list);
}
function within(times: readonly number[], from: number, until: number): number {
  let n = 0;
  for (const t of times) if (t > from && t <= until) n += 1;
  return n;
}
