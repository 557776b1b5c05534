/** Joins the records of a run into requests, arrivals, configuration versions and evacuations for the rule checks. */
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

/** Limits that the rules check against. The site writes them into the settings file of each node. */
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

/** The limits of all scenarios and soak runs. */
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

/** The arrival of one attempt at a worker, and what the worker did with it. */
export type Visit = {
  readonly arrived: Arrived;
  readonly refused: Refused | null;
  readonly ran: Ran | null;
  readonly finished: Finished | null;
};

/** One attempt of a caller, its response, and its arrivals at workers. */
export type Request = {
  readonly asked: Asked;
  readonly sentAt: number | null;
  readonly answered: Answered | null;
  readonly visits: readonly Visit[];
};

/** A valid version that was not rejected; `acknowledgedAt` is Infinity if its outcome is unclear. */
export type Version = {
  readonly number: number;
  readonly document: unknown;
  readonly submittedAt: number;
  readonly acknowledgedAt: number;
};

/** A configuration change submitted by an operator, and its outcome. */
export type ConfigOrder = { readonly submitted: Submitted; readonly settled: Settled | null };

/** The time during which a zone was evacuated, from the acknowledgement on. */
export type Evacuation = { readonly zone: string; readonly from: number; readonly until: number };

/** The records of a run, joined for the rules. */
export type Facts = {
  readonly bounds: Bounds;
  readonly records: readonly JournalRecord[];
  readonly requests: ReadonlyMap<string, Request>;
  readonly visits: readonly Visit[];
  /** Arrivals that ran, by the seal that the worker put on the response. */
  readonly bySeal: ReadonlyMap<string, Visit>;
  readonly versions: readonly Version[];
  readonly orders: readonly ConfigOrder[];
  readonly evacuations: readonly Evacuation[];
  /** When controllers were killed at the end of a soak run, and when they were back. */
  readonly finalFaultAt: number | null;
  readonly finalFaultEndedAt: number | null;
  /** Whether the proxy had been in contact with a stable core for the whole contact time before. */
  readonly inTouch: (edge: string, at: number) => boolean;
  /** Whether the proxy ran and a majority of the core had been up since `from`, even if the core was unstable. */
  readonly hadMajorityContact: (edge: string, from: number, at: number) => boolean;
  /** The routes that match the request, one of each version that has one. */
  readonly mappings: (asked: Asked) => readonly ModelRoute[];
  /** Whether any version allows the request to run more than once. */
  readonly repeatable: (asked: Asked) => boolean;
};

/** One violation of a rule. */
export type RuleViolation = { readonly rule: string; readonly text: string };

/** Called by a rule check for each violation that it finds. */
export type ReportViolation = (rule: string, text: string) => void;

/** Joins the records of a run. */
export function collectFacts(records: readonly JournalRecord[], bounds: Bounds): Facts {
  const visits = visitsOf(records);
  const requests = requestsOf(records, visits);
  const orders = ordersOf(records);
  const versions = versionsOf(orders);
  const contact = contactOf(records, bounds);
  const bySeal = new Map<string, Visit>();
  for (const visit of visits) if (visit.ran) bySeal.set(visit.ran.seal, visit);
  const routesByPath = new Map<string, readonly ModelRoute[]>();

  function mappings(asked: Asked): readonly ModelRoute[] {
    const key = `${asked.host} ${asked.path}`;
    const cached = routesByPath.get(key);
    if (cached) return cached;
    const found: ModelRoute[] = [];
    for (const version of versions) {
      const route = mappingFor(version.document, asked.host, asked.path);
      if (route) found.push(route);
    }
    routesByPath.set(key, found);
    return found;
  }
  function repeatable(asked: Asked): boolean {
    for (const modelRoute of mappings(asked))
      if (modelRoute.kind === 'repeatable' || (modelRoute.kind === 'stream' && modelRoute.resumable)) return true;
    return false;
  }
  function firstFaultAt(fault: 'closing' | 'back'): number | null {
    for (const planned of recordsOfType(records, 'planned')) if (planned.fault === fault) return planned.at;
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
    evacuations: evacuationsOf(records),
    finalFaultAt: firstFaultAt('closing'),
    finalFaultEndedAt: firstFaultAt('back'),
    inTouch: contact.inTouch,
    hadMajorityContact: contact.inTouchWithMajority,
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
  const visits: Visit[] = [];
  for (const arrived of recordsOfType(records, 'arrived')) {
    const id = arrived.visit;
    visits.push({
      arrived,
      refused: refused.get(id) ?? null,
      ran: ran.get(id) ?? null,
      finished: finished.get(id) ?? null,
    });
  }
  return visits;
}

function requestsOf(records: readonly JournalRecord[], visits: readonly Visit[]): ReadonlyMap<string, Request> {
  const visitsByAttempt = new Map<string, Visit[]>();
  for (const visit of visits) {
    const id = visit.arrived.attempt;
    if (id === null) continue;
    const list = visitsByAttempt.get(id) ?? [];
    list.push(visit);
    visitsByAttempt.set(id, list);
  }
  const answeredByAttempt = new Map<string, Answered>();
  const sentAtByAttempt = new Map<string, number>();
  for (const rec of records) {
    if (rec.what === 'answered') answeredByAttempt.set(rec.attempt, rec);
    if (rec.what === 'sent') sentAtByAttempt.set(rec.attempt, rec.at);
  }
  const requests = new Map<string, Request>();
  for (const asked of recordsOfType(records, 'asked')) {
    const id = asked.attempt;
    requests.set(id, {
      asked,
      sentAt: sentAtByAttempt.get(id) ?? null,
      answered: answeredByAttempt.get(id) ?? null,
      visits: visitsByAttempt.get(id) ?? [],
    });
  }
  return requests;
}

function ordersOf(records: readonly JournalRecord[]): readonly ConfigOrder[] {
  const settledByOrder = settledOf(records);
  const orders: ConfigOrder[] = [];
  for (const submitted of recordsOfType(records, 'submitted'))
    orders.push({ submitted, settled: settledByOrder.get(submitted.order) ?? null });
  return orders;
}
function settledOf(records: readonly JournalRecord[]): ReadonlyMap<string, Settled> {
  const settled = new Map<string, Settled>();
  for (const record of recordsOfType(records, 'settled')) settled.set(record.order, record);
  return settled;
}

function versionsOf(orders: readonly ConfigOrder[]): readonly Version[] {
  const versions: Version[] = [];
  for (const { submitted, settled } of orders) {
    if (!submitted.valid || settled?.outcome === 'refused') continue;
    const acknowledgedAt = settled?.outcome === 'acknowledged' ? settled.at : Infinity;
    versions.push({
      number: submitted.number,
      document: submitted.document,
      submittedAt: submitted.at,
      acknowledgedAt,
    });
  }
  return versions.sort(byNumber);
}
function byNumber(left: Version, right: Version): number {
  return left.number - right.number;
}

function evacuationsOf(records: readonly JournalRecord[]): readonly Evacuation[] {
  const settled = settledOf(records);
  const all = recordsOfType(records, 'evacuated');
  const evacuations: Evacuation[] = [];
  for (const evacuated of all) {
    const result = settled.get(evacuated.order);
    if (!evacuated.begin || result?.outcome !== 'acknowledged') continue;
    evacuations.push({ zone: evacuated.zone, from: result.at, until: evacuationEndedAt(all, evacuated) });
  }
  return evacuations;
}
function evacuationEndedAt(all: readonly Evacuated[], begun: Evacuated): number {
  for (const evacuated of all)
    if (!evacuated.begin && evacuated.zone === begun.zone && evacuated.at > begun.at) return evacuated.at;
  return Infinity;
}
