import type { Facts, Note, Request, Visit } from './facts.js';
import { recordsOfType } from './records.js';
import type { Answered, EventSeen } from './records.js';

const PROMISES: readonly number[] = [408, 421, 429, 503];
const BREAKS: readonly string[] = ['brokenOff', 'spoiled', 'crashed'];
/** What a proxy takes later than this after it was told to stop has to end, however long its worker is at work. */
const LATE_AFTER_STOP_MS = 3_000;
const NOT_DENIED: readonly number[] = [408, 421, 429];

export function checkMixed(facts: Facts, note: Note): void {
  for (const stray of recordsOfType(facts.records, 'stray')) {
    const status = /^HTTP\/1\.[01] (\d)/.exec(stray.text)?.[1];
    if (stray.attempt !== null || status === undefined)
      note('MIXED', `${stray.edge} sent bytes that are no answer: ${JSON.stringify(stray.text)}`);
    else if (status === '2') note('MIXED', `${stray.edge} sent a success where no request is waiting`);
  }
  for (const [id, request] of facts.requests) {
    const first = request.answered;
    if (!first || first.status === 0) continue;
    if (first.echo !== null && first.echo !== id) note('MIXED', `${id} got the answer of ${first.echo}`);
    if (first.seal === null) {
      if (first.end === 'whole' && isSuccess(first)) note('MIXED', `${id} got a success without a seal`);
      continue;
    }
    const value = facts.bySeal.get(first.seal);
    if (!value || value.arrived.attempt !== id) note('MIXED', `${id} got the seal of another request`);
    else if (first.end === 'whole') wholeOf(id, first, value, note);
    for (const eventSeen of first.events)
      if (facts.bySeal.get(eventSeen.run)?.arrived.attempt !== id)
        note('MIXED', `${id} got an event of another request`);
  }
}

function wholeOf(id: string, answered: Answered, visit: Visit, note: Note): void {
  const done = visit.finished;
  if (runsIn(answered.events).size > 1) return;
  if (!done || done.status !== answered.status) {
    note('MIXED', `${id} got ${answered.status} where the worker gave ${done?.status ?? 'nothing'}`);
    return;
  }
  if (answered.digest !== done.digest) note('MIXED', `${id} got a body that isn't the worker's whole body`);
}
function isSuccess(answered: Answered): boolean {
  return answered.status >= 200 && answered.status < 300;
}
function runsIn(events: readonly EventSeen[]): ReadonlySet<string> {
  const out = new Set<string>();
  for (const eventSeen of events) out.add(eventSeen.run);
  return out;
}

export function checkUnasked(facts: Facts, note: Note): void {
  for (const visit of facts.visits) {
    if (!visit.ran) continue;
    const asked = facts.requests.get(visit.ran.attempt)?.asked;
    if (!asked) note('UNASKED', `${visit.arrived.worker} ran ${visit.ran.attempt}, which no caller sent`);
    else if (asked.method !== visit.arrived.method || asked.path !== visit.arrived.path)
      note('UNASKED', `${visit.ran.attempt} ran as ${visit.arrived.method} ${visit.arrived.path}`);
    else if (asked.digest !== visit.ran.digest) note('UNASKED', `${visit.ran.attempt} ran with a changed body`);
  }
}

export function checkTwice(facts: Facts, note: Note): void {
  for (const [id, request] of facts.requests) {
    const runs = request.visits.filter(hasRun).length;
    if (runs > 1 && !facts.repeatable(request.asked)) note('TWICE', `${id} ran ${runs} times`);
  }
}
function hasRun(visit: Visit): boolean {
  return visit.ran !== null;
}

export function checkRefused(facts: Facts, note: Note): void {
  for (const [id, request] of facts.requests) {
    const status = request.answered?.status ?? 0;
    if (PROMISES.includes(status) && request.visits.some(hasRun) && !facts.repeatable(request.asked))
      note('REFUSED', `${id} was answered ${status}, and it runs`);
  }
}

export function checkDenied(facts: Facts, note: Note): void {
  let denied = 0;
  let all = 0;
  for (const request of facts.requests.values()) {
    if (request.asked.direct || !facts.inTouch(request.asked.edge, request.asked.at)) continue;
    all += 1;
    const first = request.answered;
    if (
      first &&
      first.seal === null &&
      first.status >= 300 &&
      first.status < 500 &&
      !NOT_DENIED.includes(first.status) &&
      facts.mappings(request.asked).length === facts.versions.length
    )
      denied += 1;
  }
  if (denied > 5 + all / 500) note('DENIED', `${denied} of ${all} proper requests were denied`);
}

export function checkOrder(facts: Facts, note: Note): void {
  for (const [id, request] of facts.requests) {
    const first = request.answered;
    if (!first || first.events.length === 0) continue;
    let before: EventSeen | null = null;
    for (const eventSeen of first.events) {
      const from = before === null ? request.asked.lastEvent : before.id;
      const due = before === null ? nextAfter(eventSeen, from) : before.n + 1;
      if (eventSeen.n !== due) note('ORDER', `${id} got piece ${eventSeen.n} where ${due} was due`);
      if (before !== null && before.run !== eventSeen.run && !resumedAt(facts, request, eventSeen, before))
        note('ORDER', `${id} got pieces of two runs joined at ${eventSeen.n}`);
      before = eventSeen;
    }
    if (before && first.end === 'whole' && isSuccess(first) && before.n !== before.of)
      note('ORDER', `${id} ended as complete at ${before.n} of ${before.of}`);
  }
}
function nextAfter(eventSeen: EventSeen, lastEvent: number): number {
  return lastEvent === 0 ? 1 : (lastEvent * eventSeen.n) / eventSeen.id + 1;
}
function resumedAt(facts: Facts, request: Request, eventSeen: EventSeen, before: EventSeen): boolean {
  return facts.repeatable(request.asked) && facts.bySeal.get(eventSeen.run)?.arrived.lastEvent === before.id;
}

export function checkLostRequests(facts: Facts, note: Note): void {
  const { gracePeriodS, lossSlackMs, contactMs } = facts.bounds;
  const planned = recordsOfType(facts.records, 'planned');
  for (const plan of planned) {
    if (plan.fault !== 'term' || plan.core) continue;
    for (const [id, request] of facts.requests) {
      const first = request.answered;
      if (
        request.asked.edge !== plan.edge ||
        first?.end !== 'cut' ||
        first.at < plan.at ||
        request.asked.at > plan.at + gracePeriodS * 1_000 + 1_000
      )
        continue;
      if (planned.some(isUnplanned) || facts.visits.some(brokeOff)) continue;
      const passedOn = request.visits.length > 0;
      const stillAtWork =
        passedOn && first.at > plan.at + gracePeriodS * 500 && request.asked.at <= plan.at + LATE_AFTER_STOP_MS;
      if (!stillAtWork && (passedOn || (request.sentAt !== null && first.at > request.sentAt + lossSlackMs)))
        note('LOST', `${id} was cut by ${plan.edge} while that one was being stopped`);
      function isUnplanned(other: (typeof planned)[number]): boolean {
        return (
          other.fault !== 'term' &&
          other.fault !== 'start' &&
          other.at > request.asked.at - contactMs &&
          other.at < (first?.at ?? 0)
        );
      }
      function brokeOff(visit: Visit): boolean {
        return visit.arrived.attempt === id && visit.finished !== null && BREAKS.includes(visit.finished.end);
      }
    }
  }
}

export function checkRecover(facts: Facts, note: Note): void {
  const { closingAt, backAt } = facts;
  if (closingAt === null || backAt === null) return;
  const before = share(facts, 0, closingAt);
  const after = share(facts, backAt + facts.bounds.recoveryS * 1_000, Infinity);
  if (before.all > 0 && after.all > 0 && before.served / before.all >= 0.25 && after.served / after.all < 0.25)
    note('RECOVER', `${after.served} of ${after.all} were served after the closing fault`);
}
function share(facts: Facts, from: number, until: number): { readonly served: number; readonly all: number } {
  let served = 0;
  let all = 0;
  for (const request of facts.requests.values()) {
    if (request.asked.direct || request.asked.at < from || request.asked.at > until) continue;
    all += 1;
    if (request.answered?.end === 'whole' && isSuccess(request.answered)) served += 1;
  }
  return { served, all };
}
