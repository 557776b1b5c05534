/** Rules on requests, their responses and streams. */
import type { Facts, ReportViolation, Request, Visit } from './facts.js';
import { recordsOfType } from './records.js';
import type { Answered, EventSeen } from './records.js';

/** With these statuses a proxy promises that the request did not run and will not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
/** Ends of a run that are failures of the worker. */
const FAILURE_ENDS: readonly string[] = ['brokenOff', 'spoiled', 'crashed'];
/** A request that a proxy accepts more than this long after SIGTERM has to complete, however long its worker takes. */
const LATE_REQUEST_AFTER_STOP_MS = 3_000;
/** Client error statuses that a proxy may send to a valid request. */
const NOT_COUNTED_AS_DENIED: readonly number[] = [408, 421, 429];

/** MIXED: a caller gets the complete response to its own request, or can tell that it did not. */
export function checkMixed(facts: Facts, report: ReportViolation): void {
  for (const stray of recordsOfType(facts.records, 'stray')) {
    const status = /^HTTP\/1\.[01] (\d)/.exec(stray.text)?.[1];
    if (stray.attempt !== null || status === undefined)
      report('MIXED', `${stray.edge} sent bytes that are no response: ${JSON.stringify(stray.text)}`);
    else if (status === '2') report('MIXED', `${stray.edge} sent a success where no request is waiting`);
  }
  for (const [id, request] of facts.requests) {
    const answered = request.answered;
    if (!answered || answered.status === 0) continue;
    if (answered.echo !== null && answered.echo !== id) report('MIXED', `${id} got the response to ${answered.echo}`);
    if (answered.seal === null) {
      if (answered.end === 'whole' && isSuccess(answered)) report('MIXED', `${id} got a success without a seal`);
      continue;
    }
    const visit = facts.bySeal.get(answered.seal);
    if (!visit || visit.arrived.attempt !== id) report('MIXED', `${id} got the seal of another request`);
    else if (answered.end === 'whole') checkCompleteResponse(id, answered, visit, report);
    for (const eventSeen of answered.events)
      if (facts.bySeal.get(eventSeen.run)?.arrived.attempt !== id)
        report('MIXED', `${id} got an event of another request`);
  }
}

function checkCompleteResponse(id: string, answered: Answered, visit: Visit, report: ReportViolation): void {
  const finished = visit.finished;
  if (runIds(answered.events).size > 1) return;
  if (!finished || finished.status !== answered.status) {
    report('MIXED', `${id} got ${answered.status}, but the worker sent ${finished?.status ?? 'nothing'}`);
    return;
  }
  if (answered.digest !== finished.digest)
    report('MIXED', `${id} got a body that differs from the worker's complete body`);
}
function isSuccess(answered: Answered): boolean {
  return answered.status >= 200 && answered.status < 300;
}
function runIds(events: readonly EventSeen[]): ReadonlySet<string> {
  const ids = new Set<string>();
  for (const eventSeen of events) ids.add(eventSeen.run);
  return ids;
}

/** UNASKED: a worker runs only what a caller sent, unchanged. */
export function checkUnasked(facts: Facts, report: ReportViolation): void {
  for (const visit of facts.visits) {
    if (!visit.ran) continue;
    const asked = facts.requests.get(visit.ran.attempt)?.asked;
    if (!asked) report('UNASKED', `${visit.arrived.worker} ran ${visit.ran.attempt}, which no caller sent`);
    else if (asked.method !== visit.arrived.method || asked.path !== visit.arrived.path)
      report('UNASKED', `${visit.ran.attempt} ran as ${visit.arrived.method} ${visit.arrived.path}`);
    else if (asked.digest !== visit.ran.digest) report('UNASKED', `${visit.ran.attempt} ran with a changed body`);
  }
}

/** TWICE: a request that is not repeatable runs at most once. */
export function checkTwice(facts: Facts, report: ReportViolation): void {
  for (const [id, request] of facts.requests) {
    const runs = request.visits.filter(hasRun).length;
    if (runs > 1 && !facts.repeatable(request.asked)) report('TWICE', `${id} ran ${runs} times`);
  }
}
function hasRun(visit: Visit): boolean {
  return visit.ran !== null;
}

/** REFUSED: a request answered with a status of NOT_RUN_STATUSES does not run, unless it is repeatable. */
export function checkRefused(facts: Facts, report: ReportViolation): void {
  for (const [id, request] of facts.requests) {
    const status = request.answered?.status ?? 0;
    if (NOT_RUN_STATUSES.includes(status) && request.visits.some(hasRun) && !facts.repeatable(request.asked))
      report('REFUSED', `${id} was answered ${status}, but it ran`);
  }
}

/** DENIED: proxies in contact with the core answer hardly any valid request with a 3xx or 4xx status. */
export function checkDenied(facts: Facts, report: ReportViolation): void {
  let denied = 0;
  let total = 0;
  for (const request of facts.requests.values()) {
    if (request.asked.direct || !facts.inTouch(request.asked.edge, request.asked.at)) continue;
    total += 1;
    const answered = request.answered;
    if (
      answered &&
      answered.seal === null &&
      answered.status >= 300 &&
      answered.status < 500 &&
      !NOT_COUNTED_AS_DENIED.includes(answered.status) &&
      facts.mappings(request.asked).length === facts.versions.length
    )
      denied += 1;
  }
  if (denied > 5 + total / 500) report('DENIED', `${denied} of ${total} valid requests were denied`);
}

/** ORDER: the pieces of a stream arrive in order, each once, and it ends as complete only after the last one. */
export function checkOrder(facts: Facts, report: ReportViolation): void {
  for (const [id, request] of facts.requests) {
    const answered = request.answered;
    if (!answered || answered.events.length === 0) continue;
    let previous: EventSeen | null = null;
    for (const eventSeen of answered.events) {
      const lastId = previous === null ? request.asked.lastEvent : previous.id;
      const expected = previous === null ? nextPieceNumber(eventSeen, lastId) : previous.n + 1;
      if (eventSeen.n !== expected) report('ORDER', `${id} got piece ${eventSeen.n} where ${expected} was expected`);
      if (previous !== null && previous.run !== eventSeen.run && !isResumedAt(facts, request, eventSeen, previous))
        report('ORDER', `${id} got pieces of two runs joined wrongly at ${eventSeen.n}`);
      previous = eventSeen;
    }
    if (previous && answered.end === 'whole' && isSuccess(answered) && previous.n !== previous.of)
      report('ORDER', `${id} ended as a complete response after piece ${previous.n} of ${previous.of}`);
  }
}
function nextPieceNumber(eventSeen: EventSeen, lastEvent: number): number {
  return lastEvent === 0 ? 1 : (lastEvent * eventSeen.n) / eventSeen.id + 1;
}
/** Whether the second run continued right after the last event of the first one, as the route allows. */
function isResumedAt(facts: Facts, request: Request, eventSeen: EventSeen, previous: EventSeen): boolean {
  return facts.repeatable(request.asked) && facts.bySeal.get(eventSeen.run)?.arrived.lastEvent === previous.id;
}

/**
 * LOST: a proxy that stops on SIGTERM truncates no response. It does not count if the worker failed, if another fault
 * was near, if the request reached no worker and ended within `lossSlackMs` after it was sent, or, in the second half
 * of the grace period, if the proxy accepted the request early and passed it to a worker.
 */
export function checkLostRequests(facts: Facts, report: ReportViolation): void {
  const { gracePeriodS, lossSlackMs, contactMs } = facts.bounds;
  const planned = recordsOfType(facts.records, 'planned');
  for (const stop of planned) {
    if (stop.fault !== 'term' || stop.core) continue;
    for (const [id, request] of facts.requests) {
      const answered = request.answered;
      if (
        request.asked.edge !== stop.edge ||
        answered?.end !== 'cut' ||
        answered.at < stop.at ||
        request.asked.at > stop.at + gracePeriodS * 1_000 + 1_000
      )
        continue;
      if (planned.some(isOtherFault) || facts.visits.some(isWorkerFailure)) continue;
      const reachedWorker = request.visits.length > 0;
      const mayBeTruncated =
        reachedWorker &&
        answered.at > stop.at + gracePeriodS * 500 &&
        request.asked.at <= stop.at + LATE_REQUEST_AFTER_STOP_MS;
      if (!mayBeTruncated && (reachedWorker || (request.sentAt !== null && answered.at > request.sentAt + lossSlackMs)))
        report('LOST', `${id} was truncated by ${stop.edge} while that proxy was stopping`);
      function isOtherFault(other: (typeof planned)[number]): boolean {
        return (
          other.fault !== 'term' &&
          other.fault !== 'start' &&
          other.at > request.asked.at - contactMs &&
          other.at < (answered?.at ?? 0)
        );
      }
      function isWorkerFailure(visit: Visit): boolean {
        return visit.arrived.attempt === id && visit.finished !== null && FAILURE_ENDS.includes(visit.finished.end);
      }
    }
  }
}

/** RECOVER: requests are served again after the final fault, if they were served before it. */
export function checkRecover(facts: Facts, report: ReportViolation): void {
  const { finalFaultAt, finalFaultEndedAt } = facts;
  if (finalFaultAt === null || finalFaultEndedAt === null) return;
  const beforeFault = servedBetween(facts, 0, finalFaultAt);
  const afterRecovery = servedBetween(facts, finalFaultEndedAt + facts.bounds.recoveryS * 1_000, Infinity);
  if (
    beforeFault.all > 0 &&
    afterRecovery.all > 0 &&
    beforeFault.served / beforeFault.all >= 0.25 &&
    afterRecovery.served / afterRecovery.all < 0.25
  )
    report('RECOVER', `${afterRecovery.served} of ${afterRecovery.all} were served after the final fault`);
}
function servedBetween(facts: Facts, from: number, until: number): { readonly served: number; readonly all: number } {
  let served = 0;
  let all = 0;
  for (const request of facts.requests.values()) {
    if (request.asked.direct || request.asked.at < from || request.asked.at > until) continue;
    all += 1;
    if (request.answered?.end === 'whole' && isSuccess(request.answered)) served += 1;
  }
  return { served, all };
}
