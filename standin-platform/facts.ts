import { mappingFor } from './document.js';
import type { ModelRoute } from './document.js';
import { contactOf } from './contact.js';
import { recordsOfType } from './records.js';
import type {
  Answered,
  Arrived,
  Asked,
  Evacuated,
  Finished,
  Ran,
  JournalRecord,
  Refused,
  Settled,
  Submitted,
} from './records.js';

export type Bounds = {
  readonly contactMs: number;
  readonly ackWithinMs: number;
  readonly drainCutoffMs: number;
  readonly gracePeriodS: number;
  readonly lossSlackMs: number;
  readonly applyWithinMs: number;
  readonly revertSlackMs: number;
  readonly retryRatio: number;
  readonly retryWindowS: number;
  readonly retrySlack: number;
  readonly coldExcess: number;
  readonly coldMargin: number;
  readonly evacuateWithinMs: number;
  readonly stretchMaxMs: number;
  readonly recoveryS: number;
};

export const BOUNDS: Bounds = {
  contactMs: 4_000,
  ackWithinMs: 5_000,
  drainCutoffMs: 4_000,
  gracePeriodS: 8,
  lossSlackMs: 200,
  applyWithinMs: 3_000,
  revertSlackMs: 250,
  retryRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 52,
  coldExcess: 1.5,
  coldMargin: 5,
  evacuateWithinMs: 5_000,
  stretchMaxMs: 6_000,
  recoveryS: 12,
};

export type Visit = {
  readonly arrived: Arrived;
  readonly refused: Refused | null;
  readonly ran: Ran | null;
  readonly finished: Finished | null;
};

export type Request = {
  readonly asked: Asked;
  readonly sentAt: number | null;
  readonly answered: Answered | null;
  readonly visits: readonly Visit[];
};

export type Version = {
  readonly number: number;
  readonly document: unknown;
  readonly submittedAt: number;
  readonly acknowledgedAt: number;
};

export type Order = { readonly submitted: Submitted; readonly settled: Settled | null };

export type Emptying = { readonly zone: string; readonly from: number; readonly until: number };

export type Facts = {
  readonly bounds: Bounds;
  readonly records: readonly JournalRecord[];
  readonly requests: ReadonlyMap<string, Request>;
  readonly visits: readonly Visit[];
  readonly bySeal: ReadonlyMap<string, Visit>;
  readonly versions: readonly Version[];
  readonly orders: readonly Order[];
  readonly emptyings: readonly Emptying[];
  readonly closingAt: number | null;
  readonly backAt: number | null;
  readonly inTouch: (edge: string, at: number) => boolean;
  readonly inOuterTouch: (edge: string, from: number, at: number) => boolean;
  readonly mappings: (asked: Asked) => readonly ModelRoute[];
  readonly repeatable: (asked: Asked) => boolean;
};

export type Verdict = { readonly rule: string; readonly text: string };

export type Note = (rule: string, text: string) => void;

export function gather(records: readonly JournalRecord[], bounds: Bounds): Facts {
  const visits = visitsOf(records);
  const requests = requestsOf(records, visits);
  const orders = ordersOf(records);
  const versions = versionsOf(orders);
  const contact = contactOf(records, bounds);
  const bySeal = new Map<string, Visit>();
  for (const visit of visits) if (visit.ran) bySeal.set(visit.ran.seal, visit);
  const kinds = new Map<string, readonly ModelRoute[]>();

  function mappings(asked: Asked): readonly ModelRoute[] {
    const key = `${asked.host} ${asked.path}`;
    const known = kinds.get(key);
    if (known) return known;
    const out: ModelRoute[] = [];
    for (const version of versions) {
      const m = mappingFor(version.document, asked.host, asked.path);
      if (m) out.push(m);
    }
    kinds.set(key, out);
    return out;
  }
  function repeatable(asked: Asked): boolean {
    for (const modelRoute of mappings(asked))
      if (modelRoute.kind === 'repeatable' || (modelRoute.kind === 'stream' && modelRoute.resumable)) return true;
    return false;
  }
  function timeOf(error: 'closing' | 'back'): number | null {
    for (const planned of recordsOfType(records, 'planned')) if (planned.fault === error) return planned.at;
    return null;
  }
  return {
    bounds,
    records,
    requests,
    visits,
    bySeal,
    versions,
    orders,
    emptyings: emptyingsOf(records),
    closingAt: timeOf('closing'),
    backAt: timeOf('back'),
    inTouch: contact.inTouch,
    inOuterTouch: contact.inTouchWithMajority,
    mappings,
    repeatable,
  };
}

function visitsOf(records: readonly JournalRecord[]): readonly Visit[] {
  const refused = new Map<string, Refused>();
  const ran = new Map<string, Ran>();
  const finished = new Map<string, Finished>();
  for (const rec of records) {
    if (rec.what === 'refused') refused.set(rec.visit, rec);
    if (rec.what === 'ran') ran.set(rec.visit, rec);
    if (rec.what === 'finished') finished.set(rec.visit, rec);
  }
  const out: Visit[] = [];
  for (const arrived of recordsOfType(records, 'arrived')) {
    const value = arrived.visit;
    out.push({
      arrived,
      refused: refused.get(value) ?? null,
      ran: ran.get(value) ?? null,
      finished: finished.get(value) ?? null,
    });
  }
  return out;
}

function requestsOf(records: readonly JournalRecord[], visits: readonly Visit[]): ReadonlyMap<string, Request> {
  const at = new Map<string, Visit[]>();
  for (const visit of visits) {
    const id = visit.arrived.attempt;
    if (id === null) continue;
    const list = at.get(id) ?? [];
    list.push(visit);
    at.set(id, list);
  }
  const answered = new Map<string, Answered>();
  const sent = new Map<string, number>();
  for (const rec of records) {
    if (rec.what === 'answered') answered.set(rec.attempt, rec);
    if (rec.what === 'sent') sent.set(rec.attempt, rec.at);
  }
  const out = new Map<string, Request>();
  for (const asked of recordsOfType(records, 'asked')) {
    const id = asked.attempt;
    out.set(id, { asked, sentAt: sent.get(id) ?? null, answered: answered.get(id) ?? null, visits: at.get(id) ?? [] });
  }
  return out;
}

function ordersOf(records: readonly JournalRecord[]): readonly Order[] {
  const settled = settledOf(records);
  const out: Order[] = [];
  for (const submitted of recordsOfType(records, 'submitted'))
    out.push({ submitted, settled: settled.get(submitted.order) ?? null });
  return out;
}
function settledOf(records: readonly JournalRecord[]): ReadonlyMap<string, Settled> {
  const settled = new Map<string, Settled>();
  for (const fact of recordsOfType(records, 'settled')) settled.set(fact.order, fact);
  return settled;
}

function versionsOf(orders: readonly Order[]): readonly Version[] {
  const out: Version[] = [];
  for (const { submitted, settled } of orders) {
    if (!submitted.valid || settled?.outcome === 'refused') continue;
    const acknowledgedAt = settled?.outcome === 'acknowledged' ? settled.at : Infinity;
    out.push({ number: submitted.number, document: submitted.document, submittedAt: submitted.at, acknowledgedAt });
  }
  return out.sort(byNumber);
}
function byNumber(left: Version, right: Version): number {
  return left.number - right.number;
}

function emptyingsOf(records: readonly JournalRecord[]): readonly Emptying[] {
  const settled = settledOf(records);
  const all = recordsOfType(records, 'evacuated');
  const out: Emptying[] = [];
  for (const evacuated of all) {
    const s = settled.get(evacuated.order);
    if (!evacuated.begin || s?.outcome !== 'acknowledged') continue;
    out.push({ zone: evacuated.zone, from: s.at, until: takenBackAt(all, evacuated) });
  }
  return out;
}
function takenBackAt(all: readonly Evacuated[], began: Evacuated): number {
  for (const evacuated of all)
    if (!evacuated.begin && evacuated.zone === began.zone && evacuated.at > began.at) return evacuated.at;
  return Infinity;
}
