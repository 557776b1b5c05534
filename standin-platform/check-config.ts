import { canonical, mappingFor, numberOf } from './document.js';
import type { Facts, Note, Order, Request, Version } from './facts.js';
import { onlyOf } from './records.js';

type Handling = { readonly at: number; readonly request: Request; readonly model: string | null };

function allows(v: Version, h: Handling): boolean {
  const m = mappingFor(v.document, h.request.asked.host, h.request.asked.path);
  if (h.model === null) return m === null;
  for (const s of m?.shares ?? []) if (s.model === h.model && s.share > 0) return true;
  return false;
}

function handlings(f: Facts): readonly Handling[] {
  const out: Handling[] = [];
  for (const request of f.requests.values()) {
    for (const v of request.visits) if (v.ran) out.push({ at: v.ran.at, request, model: v.arrived.model });
    if (request.answered?.status === 404 && request.answered.seal === null)
      out.push({ at: request.answered.at, request, model: null });
  }
  return out.sort(byTime);
}
function byTime(a: Handling, b: Handling): number {
  return a.at - b.at;
}
function told(h: Handling): string {
  return `${h.request.asked.attempt} ${h.model === null ? 'was refused with 404' : `ran on ${h.model}`}`;
}

export function checkRoute(f: Facts, note: Note): void {
  for (const h of handlings(f)) {
    if (h.model === null) continue;
    let ever = false;
    for (const { submitted } of f.orders)
      if (allows({ number: 0, document: submitted.document, submittedAt: 0, acknowledgedAt: 0 }, h)) ever = true;
    if (!ever) note('ROUTE', `${told(h)}, which no configuration lets it reach`);
  }
}

export function checkConfig(f: Facts, note: Note): void {
  const { applyWithinMs, revertSlackMs } = f.bounds;
  const seen = new Map<string, { readonly number: number; readonly at: number }[]>();
  for (const h of handlings(f)) {
    const { asked } = h.request;
    if (!f.inTouch(asked.edge, asked.at)) continue;
    let floor = -1;
    for (const v of f.versions) if (v.acknowledgedAt + applyWithinMs < asked.at) floor = Math.max(floor, v.number);
    let least = Infinity;
    let most = -1;
    let fits = floor < 0 && h.model === null;
    for (const v of f.versions) {
      if (v.submittedAt > h.at || !allows(v, h)) continue;
      least = Math.min(least, v.number);
      most = Math.max(most, v.number);
      if (v.number >= floor) fits = true;
    }
    if (!fits) note('CONFIG', `${told(h)} at ${asked.edge}, as no version since ${floor} allows`);
    for (const s of seen.get(asked.edge) ?? []) {
      if (asked.at <= s.at + revertSlackMs || most >= s.number || startedSince(f, asked.edge, s.at, asked.at)) continue;
      note('CONFIG', `${asked.edge} went back: ${told(h)} after ${s.number} was in force there`);
      break;
    }
    if (least === Infinity || least <= (f.versions[0]?.number ?? 0)) continue;
    const list = seen.get(asked.edge) ?? [];
    list.push({ number: least, at: h.at });
    seen.set(asked.edge, list);
  }
  checkOrders(f, note);
  checkReadBack(f, note);
}
function startedSince(f: Facts, edge: string, from: number, until: number): boolean {
  for (const p of onlyOf(f.records, 'planned'))
    if (p.edge === edge && p.fault === 'start' && p.at >= from && p.at <= until) return true;
  return false;
}

function checkOrders(f: Facts, note: Note): void {
  const won = new Map<number, Order>();
  for (const o of f.orders) {
    if (o.settled?.outcome !== 'acknowledged') continue;
    if (!o.submitted.valid) note('CONFIG', `the invalid ${o.submitted.order} was acknowledged`);
    const other = won.get(o.submitted.base);
    if (other && canonical(other.submitted.document) !== canonical(o.submitted.document))
      note(
        'CONFIG',
        `${other.submitted.order} and ${o.submitted.order} were both acknowledged on top of ${o.submitted.base}`,
      );
    won.set(o.submitted.base, o);
  }
}

function checkReadBack(f: Facts, note: Note): void {
  for (const r of onlyOf(f.records, 'readBack')) {
    const rule = f.closingAt !== null && f.closingAt < r.at ? 'LOST' : 'CONFIG';
    let newest = 0;
    for (const v of f.versions) if (v.acknowledgedAt < r.at) newest = Math.max(newest, v.number);
    if (newest === 0) continue;
    const number = numberOf(r.document);
    let isSent = false;
    for (const v of f.versions)
      if (v.number === number && canonical(v.document) === canonical(r.document)) isSent = true;
    if (r.document === null) note(rule, 'the configuration did not come when it was read back');
    else if (number < newest) note(rule, `${number} was read back, though ${newest} was acknowledged`);
    else if (!isSent) note(rule, `what was read back as ${number} was not sent so`);
  }
}

export function checkAcks(f: Facts, note: Note): void {
  for (const o of f.orders) {
    const { submitted, settled } = o;
    if (!submitted.valid || raced(f, o) || !f.inTouch('', submitted.at)) continue;
    if (settled?.outcome !== 'acknowledged')
      note('ACKS', `${submitted.order} was ${settled?.outcome ?? 'left'} (${settled?.status ?? 0})`);
    else if (settled.at - submitted.at > f.bounds.ackWithinMs)
      note('ACKS', `${submitted.order} was acknowledged after ${Math.round(settled.at - submitted.at)} ms`);
  }
}
function raced(f: Facts, o: Order): boolean {
  for (const other of f.orders) if (other !== o && other.submitted.base === o.submitted.base) return true;
  return false;
}
