import { MODEL, DOCUMENT } from '../platform/words.js';
import type { Facts, Note, Visit } from './facts.js';
import { recordsOfType } from './records.js';

function counts(visit: Visit): boolean {
  return !visit.arrived.probe && visit.refused?.status !== 421;
}
function edgeOf(facts: Facts, visit: Visit): string {
  return facts.requests.get(visit.arrived.attempt ?? '')?.asked.edge ?? '';
}

export function checkDrain(facts: Facts, note: Note): void {
  const listed = new Map<string, number>();
  for (const worker of recordsOfType(facts.records, 'listed'))
    if (worker.phase !== 'serving' && !listed.has(worker.worker)) listed.set(worker.worker, worker.at);
  for (const visit of facts.visits) {
    const at = listed.get(visit.arrived.worker);
    if (at === undefined || !counts(visit)) continue;
    const until = at + facts.bounds.drainCutoffMs + listTrouble(facts, at, visit.arrived.at);
    if (visit.arrived.at > until && facts.inTouch(edgeOf(facts, visit), visit.arrived.at))
      note(
        'DRAIN',
        `${visit.arrived.worker} got ${visit.arrived.attempt} ${Math.round(visit.arrived.at - at)} ms after the list told that it leaves`,
      );
  }
}
function listTrouble(facts: Facts, from: number, until: number): number {
  let since: number | null = null;
  let sum = 0;
  for (const listTrouble of recordsOfType(facts.records, 'listTrouble')) {
    if (listTrouble.on && since === null) since = listTrouble.at;
    if (!listTrouble.on && since !== null) {
      sum += Math.max(0, Math.min(listTrouble.at, until) - Math.max(since, from));
      since = null;
    }
  }
  return since === null ? sum : sum + Math.max(0, until - Math.max(since, from));
}

export function checkEvac(facts: Facts, note: Note): void {
  for (const emptying of facts.emptyings) {
    for (const visit of facts.visits) {
      const at = visit.arrived.at;
      const due = emptying.from + facts.bounds.evacuateWithinMs;
      if (visit.arrived.zone !== emptying.zone || !counts(visit) || at <= due || at >= emptying.until) continue;
      const edge = edgeOf(facts, visit);
      const isPastStretch = at > due + facts.bounds.stretchMaxMs && facts.inOuterTouch(edge, emptying.from, at);
      if (isPastStretch || facts.inTouch(edge, at))
        note(
          'EVAC',
          `${visit.arrived.worker} in ${emptying.zone} got ${visit.arrived.attempt} ${Math.round(at - emptying.from)} ms after the evacuation`,
        );
    }
  }
}

export function checkHome(facts: Facts, note: Note): void {
  for (const visit of facts.visits) {
    const asked = facts.requests.get(visit.arrived.attempt ?? '')?.asked;
    if (!asked || visit.arrived.probe) continue;
    const maps = facts.mappings(asked);
    if (maps.length === 0) continue;
    let allowed = false;
    for (const modelRoute of maps)
      if (modelRoute.homes.length === 0 || modelRoute.homes.includes(visit.arrived.region)) allowed = true;
    if (!allowed)
      note('HOME', `${visit.arrived.worker} in ${visit.arrived.region} got ${asked.attempt}, whose homes leave it out`);
  }
}

export function checkFailback(facts: Facts, note: Note): void {
  const rates = coldRates(facts);
  for (const life of recordsOfType(facts.records, 'life')) {
    const rate = rates.get(life.model) ?? 0;
    if ((life.event !== 'started' && life.event !== 'cold') || life.coldMs <= 0 || rate <= 0) continue;
    const most = rate * facts.bounds.coldExcess + facts.bounds.coldMargin;
    const times: number[] = [];
    let worst = 0;
    for (const visit of facts.visits) {
      const at = visit.arrived.at;
      if (visit.arrived.worker !== life.worker || !counts(visit) || at < life.at || at > life.at + life.coldMs)
        continue;
      const asked = facts.requests.get(visit.arrived.attempt ?? '')?.asked;
      times.push(at);
      while (times.length > 0 && at - (times[0] ?? at) > 1_000) times.shift();
      if (asked && at - asked.at <= 1_000) worst = Math.max(worst, times.length);
    }
    if (worst > most) note('FAILBACK', `${life.worker}, cold, got ${worst} requests in a second, of ${most} it bears`);
  }
}
function coldRates(facts: Facts): ReadonlyMap<string, number> {
  const out = new Map<string, number>();
  for (const version of facts.versions) {
    const models = (version.document as Readonly<Record<string, unknown>>)[DOCUMENT.models];
    for (const m of Array.isArray(models) ? (models as readonly Readonly<Record<string, unknown>>[]) : [])
      out.set(String(m[MODEL.name]), Number(m[MODEL.coldRateS] ?? 0));
  }
  return out;
}

export function checkBudget(facts: Facts, note: Note): void {
  const windowMs = facts.bounds.retryWindowS * 1_000;
  const extra = new Map<string, number[]>();
  const seen = new Set<string>();
  for (const visit of facts.visits) {
    const id = visit.arrived.attempt;
    if (visit.arrived.probe || id === null) continue;
    const key = `${visit.arrived.model} ${id}`;
    if (seen.has(key)) distribution(extra, visit.arrived.model, visit.arrived.at);
    seen.add(key);
  }
  const asked = new Map<string, number[]>();
  for (const request of facts.requests.values()) {
    const models = new Set<string>();
    for (const modelRoute of facts.mappings(request.asked))
      for (const branch of modelRoute.shares) models.add(branch.model);
    for (const model of models) distribution(asked, model, request.asked.at);
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
      const most = facts.bounds.retryRatio * requests + facts.bounds.retrySlack;
      if (further <= most) continue;
      note(
        'BUDGET',
        `${model} got ${further} further arrivals in ${facts.bounds.retryWindowS} s, of ${Math.floor(most)} allowed`,
      );
      break;
    }
  }
}
function distribution(into: Map<string, number[]>, key: string, at: number): void {
  const list = into.get(key) ?? [];
  list.push(at);
  into.set(key, list);
}
function within(times: readonly number[], from: number, until: number): number {
  let count = 0;
  for (const time of times) if (time > from && time <= until) count += 1;
  return count;
}
