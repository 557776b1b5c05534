import type { Facts, Note, Request, Visit } from './facts.js';
import { onlyOf } from './records.js';
import type { Answered, EventSeen } from './records.js';

const PROMISES: readonly number[] = [408, 421, 429, 503];
const BREAKS: readonly string[] = ['brokenOff', 'spoiled', 'crashed'];
const NOT_DENIED: readonly number[] = [408, 421, 429];

export function checkMixed(f: Facts, note: Note): void {
  for (const s of onlyOf(f.records, 'stray')) {
    const status = /^HTTP\/1\.[01] (\d)/.exec(s.text)?.[1];
    if (s.attempt !== null || status === undefined)
      note('MIXED', `${s.edge} sent bytes that are no answer: ${JSON.stringify(s.text)}`);
    else if (status === '2') note('MIXED', `${s.edge} sent a success where no request is waiting`);
  }
  for (const [id, r] of f.requests) {
    const a = r.answered;
    if (!a || a.status === 0) continue;
    if (a.echo !== null && a.echo !== id) note('MIXED', `${id} got the answer of ${a.echo}`);
    if (a.seal === null) {
      if (a.end === 'whole' && isSuccess(a)) note('MIXED', `${id} got a success without a seal`);
      continue;
    }
    const v = f.bySeal.get(a.seal);
    if (!v || v.arrived.attempt !== id) note('MIXED', `${id} got the seal of another request`);
    else if (a.end === 'whole') wholeOf(id, a, v, note);
    for (const e of a.events)
      if (f.bySeal.get(e.run)?.arrived.attempt !== id) note('MIXED', `${id} got an event of another request`);
  }
}

function wholeOf(id: string, a: Answered, v: Visit, note: Note): void {
  const done = v.finished;
  if (runsIn(a.events).size > 1) return;
  if (!done || done.status !== a.status) {
    note('MIXED', `${id} got ${a.status} where the worker gave ${done?.status ?? 'nothing'}`);
    return;
  }
  if (a.digest !== done.digest) note('MIXED', `${id} got a body that isn't the worker's whole body`);
}
function isSuccess(a: Answered): boolean {
  return a.status >= 200 && a.status < 300;
}
function runsIn(events: readonly EventSeen[]): ReadonlySet<string> {
  const out = new Set<string>();
  for (const e of events) out.add(e.run);
  return out;
}

export function checkUnasked(f: Facts, note: Note): void {
  for (const v of f.visits) {
    if (!v.ran) continue;
    const asked = f.requests.get(v.ran.attempt)?.asked;
    if (!asked) note('UNASKED', `${v.arrived.worker} ran ${v.ran.attempt}, which no caller sent`);
    else if (asked.method !== v.arrived.method || asked.path !== v.arrived.path)
      note('UNASKED', `${v.ran.attempt} ran as ${v.arrived.method} ${v.arrived.path}`);
    else if (asked.digest !== v.ran.digest) note('UNASKED', `${v.ran.attempt} ran with a changed body`);
  }
}

export function checkTwice(f: Facts, note: Note): void {
  for (const [id, r] of f.requests) {
    const runs = r.visits.filter(hasRun).length;
    if (runs > 1 && !f.repeatable(r.asked)) note('TWICE', `${id} ran ${runs} times`);
  }
}
function hasRun(v: Visit): boolean {
  return v.ran !== null;
}

export function checkRefused(f: Facts, note: Note): void {
  for (const [id, r] of f.requests) {
    const status = r.answered?.status ?? 0;
    if (PROMISES.includes(status) && r.visits.some(hasRun) && !f.repeatable(r.asked))
      note('REFUSED', `${id} was answered ${status}, and it runs`);
  }
}

export function checkDenied(f: Facts, note: Note): void {
  let denied = 0;
  let all = 0;
  for (const r of f.requests.values()) {
    if (r.asked.direct || !f.inTouch(r.asked.edge, r.asked.at)) continue;
    all += 1;
    const a = r.answered;
    if (
      a &&
      a.seal === null &&
      a.status >= 300 &&
      a.status < 500 &&
      !NOT_DENIED.includes(a.status) &&
      f.mappings(r.asked).length === f.versions.length
    )
      denied += 1;
  }
  if (denied > 5 + all / 500) note('DENIED', `${denied} of ${all} proper requests were denied`);
}

export function checkOrder(f: Facts, note: Note): void {
  for (const [id, r] of f.requests) {
    const a = r.answered;
    if (!a || a.events.length === 0) continue;
    let before: EventSeen | null = null;
    for (const e of a.events) {
      const from = before === null ? r.asked.lastEvent : before.id;
      const due = before === null ? nextAfter(e, from) : before.n + 1;
      if (e.n !== due) note('ORDER', `${id} got piece ${e.n} where ${due} was due`);
      if (before !== null && before.run !== e.run && !resumedAt(f, r, e, before))
        note('ORDER', `${id} got pieces of two runs joined at ${e.n}`);
      before = e;
    }
    if (before && a.end === 'whole' && isSuccess(a) && before.n !== before.of)
      note('ORDER', `${id} ended as complete at ${before.n} of ${before.of}`);
  }
}
function nextAfter(e: EventSeen, lastEvent: number): number {
  return lastEvent === 0 ? 1 : (lastEvent * e.n) / e.id + 1;
}
function resumedAt(f: Facts, r: Request, e: EventSeen, before: EventSeen): boolean {
  return f.repeatable(r.asked) && f.bySeal.get(e.run)?.arrived.lastEvent === before.id;
}

export function checkLostRequests(f: Facts, note: Note): void {
  const { gracePeriodS, lossSlackMs, contactMs } = f.bounds;
  const planned = onlyOf(f.records, 'planned');
  for (const p of planned) {
    if (p.fault !== 'term' || p.core) continue;
    for (const [id, r] of f.requests) {
      const a = r.answered;
      if (
        r.asked.edge !== p.edge ||
        a?.end !== 'cut' ||
        a.at < p.at ||
        r.asked.at > p.at + gracePeriodS * 1_000 + 1_000
      )
        continue;
      if (planned.some(isUnplanned) || f.visits.some(brokeOff)) continue;
      const passedOn = r.visits.length > 0;
      const stillAtWork = passedOn && a.at > p.at + gracePeriodS * 500;
      if (!stillAtWork && (passedOn || (r.sentAt !== null && a.at > r.sentAt + lossSlackMs)))
        note('LOST', `${id} was cut by ${p.edge} while that one was being stopped`);
      function isUnplanned(other: (typeof planned)[number]): boolean {
        return (
          other.fault !== 'term' &&
          other.fault !== 'start' &&
          other.at > r.asked.at - contactMs &&
          other.at < (a?.at ?? 0)
        );
      }
      function brokeOff(v: Visit): boolean {
        return v.arrived.attempt === id && v.finished !== null && BREAKS.includes(v.finished.end);
      }
    }
  }
}

export function checkRecover(f: Facts, note: Note): void {
  const { closingAt, backAt } = f;
  if (closingAt === null || backAt === null) return;
  const before = share(f, 0, closingAt);
  const after = share(f, backAt + f.bounds.recoveryS * 1_000, Infinity);
  if (before.all > 0 && after.all > 0 && before.served / before.all >= 0.25 && after.served / after.all < 0.25)
    note('RECOVER', `${after.served} of ${after.all} were served after the closing fault`);
}
function share(f: Facts, from: number, until: number): { readonly served: number; readonly all: number } {
  let served = 0;
  let all = 0;
  for (const r of f.requests.values()) {
    if (r.asked.direct || r.asked.at < from || r.asked.at > until) continue;
    all += 1;
    if (r.answered?.end === 'whole' && isSuccess(r.answered)) served += 1;
  }
  return { served, all };
}
