/** Rules on which workers get requests, and how many. */
import { MODEL, DOCUMENT } from '../platform/words.js';
import type { Facts, ReportViolation, Visit } from './facts.js';
import { recordsOfType } from './records.js';

/** Health probes do not count, nor do arrivals rejected with 421: they expected another worker or other weights. */
function isCounted(visit: Visit): boolean {
  return !visit.arrived.probe && visit.refused?.status !== 421;
}
function edgeOf(facts: Facts, visit: Visit): string {
  return facts.requests.get(visit.arrived.attempt ?? '')?.asked.edge ?? '';
}

/** DRAIN: a worker gets no request later than the drain cutoff after the list reported that it is leaving. */
export function checkDrain(facts: Facts, report: ReportViolation): void {
  const leavingSince = new Map<string, number>();
  for (const worker of recordsOfType(facts.records, 'listed'))
    if (worker.phase !== 'serving' && !leavingSince.has(worker.worker)) leavingSince.set(worker.worker, worker.at);
  for (const visit of facts.visits) {
    const at = leavingSince.get(visit.arrived.worker);
    if (at === undefined || !isCounted(visit)) continue;
    const cutoffAt = at + facts.bounds.drainCutoffMs + listTroubleMs(facts, at, visit.arrived.at);
    if (visit.arrived.at > cutoffAt && facts.inTouch(edgeOf(facts, visit), visit.arrived.at))
      report(
        'DRAIN',
        `${visit.arrived.worker} got ${visit.arrived.attempt} ${Math.round(visit.arrived.at - at)} ms after the list reported that it is leaving`,
      );
  }
}
/** The time for which the worker list failed between two points in time. */
function listTroubleMs(facts: Facts, from: number, until: number): number {
  let since: number | null = null;
  let totalMs = 0;
  for (const change of recordsOfType(facts.records, 'listTrouble')) {
    if (change.on && since === null) since = change.at;
    if (!change.on && since !== null) {
      totalMs += Math.max(0, Math.min(change.at, until) - Math.max(since, from));
      since = null;
    }
  }
  return since === null ? totalMs : totalMs + Math.max(0, until - Math.max(since, from));
}

/**
 * EVAC: workers of an evacuated zone get no request once the evacuation has been in force for `evacuateWithinMs`, or,
 * where the core is unstable but has a majority, for `stretchMaxMs` more.
 */
export function checkEvac(facts: Facts, report: ReportViolation): void {
  for (const evacuation of facts.evacuations) {
    for (const visit of facts.visits) {
      const at = visit.arrived.at;
      const deadline = evacuation.from + facts.bounds.evacuateWithinMs;
      if (visit.arrived.zone !== evacuation.zone || !isCounted(visit) || at <= deadline || at >= evacuation.until)
        continue;
      const edge = edgeOf(facts, visit);
      const isPastStretch =
        at > deadline + facts.bounds.stretchMaxMs && facts.hadMajorityContact(edge, evacuation.from, at);
      if (isPastStretch || facts.inTouch(edge, at))
        report(
          'EVAC',
          `${visit.arrived.worker} in ${evacuation.zone} got ${visit.arrived.attempt} ${Math.round(at - evacuation.from)} ms after the evacuation`,
        );
    }
  }
}

/** HOME: a request with home regions arrives only at workers in these regions. */
export function checkHome(facts: Facts, report: ReportViolation): void {
  for (const visit of facts.visits) {
    const asked = facts.requests.get(visit.arrived.attempt ?? '')?.asked;
    if (!asked || visit.arrived.probe) continue;
    const routes = facts.mappings(asked);
    if (routes.length === 0) continue;
    let isAllowed = false;
    for (const modelRoute of routes)
      if (modelRoute.homes.length === 0 || modelRoute.homes.includes(visit.arrived.region)) isAllowed = true;
    if (!isAllowed)
      report(
        'HOME',
        `${visit.arrived.worker} in ${visit.arrived.region} got ${asked.attempt}, whose home regions exclude it`,
      );
  }
}

/** FAILBACK: a cold worker gets no more requests per second than its model allows. */
export function checkFailback(facts: Facts, report: ReportViolation): void {
  const ratesByModel = coldRates(facts);
  for (const coldStart of recordsOfType(facts.records, 'life')) {
    const rate = ratesByModel.get(coldStart.model) ?? 0;
    if ((coldStart.event !== 'started' && coldStart.event !== 'cold') || coldStart.coldMs <= 0 || rate <= 0) continue;
    const maxRequests = rate * facts.bounds.coldExcess + facts.bounds.coldMargin;
    const recent: number[] = [];
    let peak = 0;
    for (const visit of facts.visits) {
      const at = visit.arrived.at;
      if (
        visit.arrived.worker !== coldStart.worker ||
        !isCounted(visit) ||
        at < coldStart.at ||
        at > coldStart.at + coldStart.coldMs
      )
        continue;
      const asked = facts.requests.get(visit.arrived.attempt ?? '')?.asked;
      recent.push(at);
      while (recent.length > 0 && at - (recent[0] ?? at) > 1_000) recent.shift();
      if (asked && at - asked.at <= 1_000) peak = Math.max(peak, recent.length);
    }
    if (peak > maxRequests)
      report('FAILBACK', `${coldStart.worker}, cold, got ${peak} requests in a second, of ${maxRequests} allowed`);
  }
}
function coldRates(facts: Facts): ReadonlyMap<string, number> {
  const rates = new Map<string, number>();
  for (const version of facts.versions) {
    const models = (version.document as Readonly<Record<string, unknown>>)[DOCUMENT.models];
    for (const model of Array.isArray(models) ? (models as readonly Readonly<Record<string, unknown>>[]) : [])
      rates.set(String(model[MODEL.name]), Number(model[MODEL.coldRateS] ?? 0));
  }
  return rates;
}

/** BUDGET: the retries at the workers of a model stay within a share of its requests. */
export function checkBudget(facts: Facts, report: ReportViolation): void {
  const windowMs = facts.bounds.retryWindowS * 1_000;
  const retriesByModel = new Map<string, number[]>();
  const seen = new Set<string>();
  for (const visit of facts.visits) {
    const id = visit.arrived.attempt;
    if (visit.arrived.probe || id === null) continue;
    const key = `${visit.arrived.model} ${id}`;
    if (seen.has(key)) addTime(retriesByModel, visit.arrived.model, visit.arrived.at);
    seen.add(key);
  }
  const requestsByModel = new Map<string, number[]>();
  for (const request of facts.requests.values()) {
    const models = new Set<string>();
    for (const modelRoute of facts.mappings(request.asked))
      for (const branch of modelRoute.shares) models.add(branch.model);
    for (const model of models) addTime(requestsByModel, model, request.asked.at);
  }
  for (const [model, times] of retriesByModel) {
    for (const end of times) {
      const retries = countBetween(times, end - windowMs, end);
      const requestTimes = requestsByModel.get(model) ?? [];
      const requests = Math.max(
        countBetween(requestTimes, end - windowMs, end),
        countBetween(requestTimes, end - 2 * windowMs, end - windowMs),
        countBetween(requestTimes, end - 1.5 * windowMs, end - 0.5 * windowMs),
      );
      const maxRetries = facts.bounds.retryRatio * requests + facts.bounds.retrySlack;
      if (retries <= maxRetries) continue;
      report(
        'BUDGET',
        `${model} got ${retries} retries in ${facts.bounds.retryWindowS} s, of ${Math.floor(maxRetries)} allowed`,
      );
      break;
    }
  }
}
function addTime(timesByKey: Map<string, number[]>, key: string, at: number): void {
  const times = timesByKey.get(key) ?? [];
  times.push(at);
  timesByKey.set(key, times);
}
function countBetween(times: readonly number[], from: number, until: number): number {
  let count = 0;
  for (const time of times) if (time > from && time <= until) count += 1;
  return count;
}
