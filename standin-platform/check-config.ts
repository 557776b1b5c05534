/** Rules on configuration changes and on the version that each proxy applies. */
import { canonicalJson, mappingFor, versionNumber } from './document.js';
import type { Facts, ReportViolation, ConfigOrder, Request, Version } from './facts.js';
import { recordsOfType } from './records.js';

/** What a proxy did with a request: the model that ran it, or null for a 404 that the proxy sent itself. */
type RoutingResult = { readonly at: number; readonly request: Request; readonly model: string | null };

function allows(version: Version, result: RoutingResult): boolean {
  const route = mappingFor(version.document, result.request.asked.host, result.request.asked.path);
  if (result.model === null) return route === null;
  for (const branch of route?.shares ?? []) if (branch.model === result.model && branch.share > 0) return true;
  return false;
}

function routingResults(facts: Facts): readonly RoutingResult[] {
  const results: RoutingResult[] = [];
  for (const request of facts.requests.values()) {
    for (const visit of request.visits)
      if (visit.ran) results.push({ at: visit.ran.at, request, model: visit.arrived.model });
    if (request.answered?.status === 404 && request.answered.seal === null)
      results.push({ at: request.answered.at, request, model: null });
  }
  return results.sort(byTime);
}
function byTime(left: RoutingResult, right: RoutingResult): number {
  return left.at - right.at;
}
function describeResult(result: RoutingResult): string {
  return `${result.request.asked.attempt} ${result.model === null ? 'was answered 404' : `ran on ${result.model}`}`;
}

/** ROUTE: a request runs only on a model that some submitted configuration gives its route. */
export function checkRoute(facts: Facts, report: ReportViolation): void {
  for (const result of routingResults(facts)) {
    if (result.model === null) continue;
    let isAllowed = false;
    for (const { submitted } of facts.orders)
      if (allows({ number: 0, document: submitted.document, submittedAt: 0, acknowledgedAt: 0 }, result))
        isAllowed = true;
    if (!isAllowed) report('ROUTE', `${describeResult(result)}, which no submitted configuration allows`);
  }
}

/**
 * CONFIG: proxies in contact with the core apply an acknowledged version in time and never revert to an older one; of
 * two changes on the same base only one is acknowledged, and reading back returns the newest one.
 */
export function checkConfig(facts: Facts, report: ReportViolation): void {
  const { applyWithinMs, revertSlackMs } = facts.bounds;
  const observedByEdge = new Map<string, { readonly number: number; readonly at: number }[]>();
  for (const result of routingResults(facts)) {
    const { asked } = result.request;
    if (!facts.inTouch(asked.edge, asked.at)) continue;
    let minNumber = -1;
    for (const version of facts.versions)
      if (version.acknowledgedAt + applyWithinMs < asked.at) minNumber = Math.max(minNumber, version.number);
    let lowestAllowing = Infinity;
    let highestAllowing = -1;
    let isAllowed = minNumber < 0 && result.model === null;
    for (const version of facts.versions) {
      if (version.submittedAt > result.at || !allows(version, result)) continue;
      lowestAllowing = Math.min(lowestAllowing, version.number);
      highestAllowing = Math.max(highestAllowing, version.number);
      if (version.number >= minNumber) isAllowed = true;
    }
    if (!isAllowed)
      report('CONFIG', `${describeResult(result)} at ${asked.edge}, which no version from ${minNumber} on allows`);
    for (const earlier of observedByEdge.get(asked.edge) ?? []) {
      if (
        asked.at <= earlier.at + revertSlackMs ||
        highestAllowing >= earlier.number ||
        startedBetween(facts, asked.edge, earlier.at, asked.at)
      )
        continue;
      report(
        'CONFIG',
        `${asked.edge} reverted: ${describeResult(result)} after version ${earlier.number} was in force there`,
      );
      break;
    }
    if (lowestAllowing === Infinity || lowestAllowing <= (facts.versions[0]?.number ?? 0)) continue;
    const observed = observedByEdge.get(asked.edge) ?? [];
    observed.push({ number: lowestAllowing, at: result.at });
    observedByEdge.set(asked.edge, observed);
  }
  checkOrders(facts, report);
  checkReadBack(facts, report);
}
/** A restarted proxy may begin with an older version. */
function startedBetween(facts: Facts, edge: string, from: number, until: number): boolean {
  for (const planned of recordsOfType(facts.records, 'planned'))
    if (planned.edge === edge && planned.fault === 'start' && planned.at >= from && planned.at <= until) return true;
  return false;
}

function checkOrders(facts: Facts, report: ReportViolation): void {
  const acknowledgedByBase = new Map<number, ConfigOrder>();
  for (const order of facts.orders) {
    if (order.settled?.outcome !== 'acknowledged') continue;
    if (!order.submitted.valid) report('CONFIG', `the invalid change ${order.submitted.order} was acknowledged`);
    const other = acknowledgedByBase.get(order.submitted.base);
    if (other && canonicalJson(other.submitted.document) !== canonicalJson(order.submitted.document))
      report(
        'CONFIG',
        `${other.submitted.order} and ${order.submitted.order} were both acknowledged on base version ${order.submitted.base}`,
      );
    acknowledgedByBase.set(order.submitted.base, order);
  }
}

/** A version lost in the final fault of a soak run counts as LOST instead of CONFIG. */
function checkReadBack(facts: Facts, report: ReportViolation): void {
  for (const readBack of recordsOfType(facts.records, 'readBack')) {
    const rule = facts.finalFaultAt !== null && facts.finalFaultAt < readBack.at ? 'LOST' : 'CONFIG';
    let newest = 0;
    for (const version of facts.versions)
      if (version.acknowledgedAt < readBack.at) newest = Math.max(newest, version.number);
    if (newest === 0) continue;
    const number = versionNumber(readBack.document);
    let matchesSubmitted = false;
    for (const version of facts.versions)
      if (version.number === number && canonicalJson(version.document) === canonicalJson(readBack.document))
        matchesSubmitted = true;
    if (readBack.document === null) report(rule, 'the configuration could not be read back');
    else if (number < newest)
      report(rule, `version ${number} was read back although version ${newest} was acknowledged`);
    else if (!matchesSubmitted)
      report(rule, `the document read back as version ${number} differs from the submitted one`);
  }
}

/** ACKS: a valid change without a concurrent one is acknowledged in time while the core is stable. */
export function checkAcks(facts: Facts, report: ReportViolation): void {
  for (const order of facts.orders) {
    const { submitted, settled } = order;
    if (!submitted.valid || hasConcurrentOrder(facts, order) || !facts.inTouch('', submitted.at)) continue;
    if (settled?.outcome !== 'acknowledged')
      report('ACKS', `${submitted.order} was ${settled?.outcome ?? 'left unanswered'} (${settled?.status ?? 0})`);
    else if (settled.at - submitted.at > facts.bounds.ackWithinMs)
      report('ACKS', `${submitted.order} was acknowledged after ${Math.round(settled.at - submitted.at)} ms`);
  }
}
function hasConcurrentOrder(facts: Facts, order: ConfigOrder): boolean {
  for (const other of facts.orders) if (other !== order && other.submitted.base === order.submitted.base) return true;
  return false;
}
