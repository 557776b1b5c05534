import { canonicalJson, mappingFor, versionNumber } from './document.js';
import type { Facts, Note, Order, Request, Version } from './facts.js';
import { recordsOfType } from './records.js';

type Handling = { readonly at: number; readonly request: Request; readonly model: string | null };

function allows(version: Version, handling: Handling): boolean {
  const m = mappingFor(version.document, handling.request.asked.host, handling.request.asked.path);
  if (handling.model === null) return m === null;
  for (const branch of m?.shares ?? []) if (branch.model === handling.model && branch.share > 0) return true;
  return false;
}

function handlings(facts: Facts): readonly Handling[] {
  const out: Handling[] = [];
  for (const request of facts.requests.values()) {
    for (const visit of request.visits)
      if (visit.ran) out.push({ at: visit.ran.at, request, model: visit.arrived.model });
    if (request.answered?.status === 404 && request.answered.seal === null)
      out.push({ at: request.answered.at, request, model: null });
  }
  return out.sort(byTime);
}
function byTime(left: Handling, right: Handling): number {
  return left.at - right.at;
}
function told(handling: Handling): string {
  return `${handling.request.asked.attempt} ${handling.model === null ? 'was refused with 404' : `ran on ${handling.model}`}`;
}

export function checkRoute(facts: Facts, note: Note): void {
  for (const handling of handlings(facts)) {
    if (handling.model === null) continue;
    let ever = false;
    for (const { submitted } of facts.orders)
      if (allows({ number: 0, document: submitted.document, submittedAt: 0, acknowledgedAt: 0 }, handling)) ever = true;
    if (!ever) note('ROUTE', `${told(handling)}, which no configuration lets it reach`);
  }
}

export function checkConfig(facts: Facts, note: Note): void {
  const { applyWithinMs, revertSlackMs } = facts.bounds;
  const seen = new Map<string, { readonly number: number; readonly at: number }[]>();
  for (const handling of handlings(facts)) {
    const { asked } = handling.request;
    if (!facts.inTouch(asked.edge, asked.at)) continue;
    let floor = -1;
    for (const version of facts.versions)
      if (version.acknowledgedAt + applyWithinMs < asked.at) floor = Math.max(floor, version.number);
    let least = Infinity;
    let most = -1;
    let fits = floor < 0 && handling.model === null;
    for (const version of facts.versions) {
      if (version.submittedAt > handling.at || !allows(version, handling)) continue;
      least = Math.min(least, version.number);
      most = Math.max(most, version.number);
      if (version.number >= floor) fits = true;
    }
    if (!fits) note('CONFIG', `${told(handling)} at ${asked.edge}, as no version since ${floor} allows`);
    for (const s of seen.get(asked.edge) ?? []) {
      if (asked.at <= s.at + revertSlackMs || most >= s.number || startedSince(facts, asked.edge, s.at, asked.at))
        continue;
      note('CONFIG', `${asked.edge} went back: ${told(handling)} after ${s.number} was in force there`);
      break;
    }
    if (least === Infinity || least <= (facts.versions[0]?.number ?? 0)) continue;
    const list = seen.get(asked.edge) ?? [];
    list.push({ number: least, at: handling.at });
    seen.set(asked.edge, list);
  }
  checkOrders(facts, note);
  checkReadBack(facts, note);
}
function startedSince(facts: Facts, edge: string, from: number, until: number): boolean {
  for (const planned of recordsOfType(facts.records, 'planned'))
    if (planned.edge === edge && planned.fault === 'start' && planned.at >= from && planned.at <= until) return true;
  return false;
}

function checkOrders(facts: Facts, note: Note): void {
  const won = new Map<number, Order>();
  for (const order of facts.orders) {
    if (order.settled?.outcome !== 'acknowledged') continue;
    if (!order.submitted.valid) note('CONFIG', `the invalid ${order.submitted.order} was acknowledged`);
    const other = won.get(order.submitted.base);
    if (other && canonicalJson(other.submitted.document) !== canonicalJson(order.submitted.document))
      note(
        'CONFIG',
        `${other.submitted.order} and ${order.submitted.order} were both acknowledged on top of ${order.submitted.base}`,
      );
    won.set(order.submitted.base, order);
  }
}

function checkReadBack(facts: Facts, note: Note): void {
  for (const readBack of recordsOfType(facts.records, 'readBack')) {
    const rule = facts.closingAt !== null && facts.closingAt < readBack.at ? 'LOST' : 'CONFIG';
    let newest = 0;
    for (const version of facts.versions)
      if (version.acknowledgedAt < readBack.at) newest = Math.max(newest, version.number);
    if (newest === 0) continue;
    const number = versionNumber(readBack.document);
    let isSent = false;
    for (const version of facts.versions)
      if (version.number === number && canonicalJson(version.document) === canonicalJson(readBack.document))
        isSent = true;
    if (readBack.document === null) note(rule, 'the configuration did not come when it was read back');
    else if (number < newest) note(rule, `${number} was read back, though ${newest} was acknowledged`);
    else if (!isSent) note(rule, `what was read back as ${number} was not sent so`);
  }
}

export function checkAcks(facts: Facts, note: Note): void {
  for (const order of facts.orders) {
    const { submitted, settled } = order;
    if (!submitted.valid || raced(facts, order) || !facts.inTouch('', submitted.at)) continue;
    if (settled?.outcome !== 'acknowledged')
      note('ACKS', `${submitted.order} was ${settled?.outcome ?? 'left'} (${settled?.status ?? 0})`);
    else if (settled.at - submitted.at > facts.bounds.ackWithinMs)
      note('ACKS', `${submitted.order} was acknowledged after ${Math.round(settled.at - submitted.at)} ms`);
  }
}
function raced(facts: Facts, order: Order): boolean {
  for (const other of facts.orders) if (other !== order && other.submitted.base === order.submitted.base) return true;
  return false;
}
