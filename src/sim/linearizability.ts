/**
 * Checks that the operator calls, as seen by their callers, are linearizable with respect to one compare-and-set
 * register: the configuration. A change names its base number and is applied only if the register has that number;
 * a retry is the same change. The history is linearizable if each call can be assigned a linearization point between
 * its start and its end such that a single register, called at these points, gives the same answers. Calls without a
 * clear answer may take effect at any time after their start, or never.
 *
 * The search is Wing and Gong's algorithm with Lowe's just-in-time linearization: it processes starts and ends by time
 * and keeps all register states that are still possible. A call that leaves the register unchanged is linearized as
 * soon as its answer is consistent, which loses no solution; only changes that apply make the search branch.
 */
import { describeCall } from './operator-calls.js';
import type { ChangeCall, InitialConfiguration, OperatorCall } from './operator-calls.js';

/** Kind of a violation; `unexplained` covers all that have no more specific kind. */
export type ViolationKind =
  'twoWinners' | 'refusedAfterConfirmed' | 'olderRead' | 'twoContents' | 'unexplained' | 'searchTooLarge';

/**
 * Why a history was rejected; `detail` describes the calls involved. With `searchTooLarge` the search was abandoned, so
 * the history may still be linearizable.
 */
export type LinearizabilityViolation = { readonly kind: ViolationKind; readonly detail: string };

/** A possible value of the register with all changes that led to it. Equal sequences of changes share one object. */
type Version = {
  readonly id: number;
  readonly parent: Version | null;
  readonly request: string;
  readonly base: number;
  readonly number: number | null;
  readonly content: string;
};

/** A possible state of the register, and the started calls with a clear answer that aren't linearized in it yet. */
type Candidate = { readonly version: Version; readonly pending: ReadonlySet<OperatorCall> };

type Event = { readonly at: number; readonly isEnd: boolean; readonly call: OperatorCall };

/** Placeholder for the request of a change that was sent under several requests. */
const ANY_REQUEST = '';

/** With more possible states than this at one time, the history has too many unclear answers to be checked. */
const MAX_CANDIDATES = 50_000;

type Search = {
  readonly versions: Map<string, Version>;
  readonly callIds: Map<OperatorCall, number>;
  readonly unclearByBase: Map<number, ChangeCall[]>;
  /** Changes that were sent under several requests. Which request was applied is unknown and left undetermined. */
  readonly sharedChanges: ReadonlySet<string>;
  candidates: Candidate[];
};

/** Returns the first violation in a history, or null if the history is linearizable. */
export function checkLinearizable(
  initial: InitialConfiguration,
  history: readonly OperatorCall[],
): LinearizabilityViolation | null {
  const numbered = withKnownNumbers(initial, history);
  if ('kind' in numbered) return numbered;
  const violation = refusedAfterConfirmed(numbered.calls);
  if (violation) return violation;
  const search = createSearch(initial, numbered.calls);
  for (const event of eventsOf(numbered.calls)) {
    if (event.isEnd) search.candidates = onEnd(search, event.call);
    else onStart(search, event.call);
    if (search.candidates.length === 0) return classifyViolation(initial, numbered.calls, event.call);
    if (search.candidates.length > MAX_CANDIDATES)
      return {
        kind: 'searchTooLarge',
        detail: `more than ${MAX_CANDIDATES} states of the register are possible at ${event.at.toFixed(0)}`,
      };
  }
  return null;
}

/** Finds a request that was rejected after it was confirmed, be it as its own change or as the same as another one. */
function refusedAfterConfirmed(calls: readonly OperatorCall[]): LinearizabilityViolation | null {
  const confirmed = new Map<string, ChangeCall>();
  for (const call of calls) {
    if (call.kind !== 'change' || call.answer !== 'confirmed') continue;
    const first = confirmed.get(call.request);
    if (!first || call.end < first.end) confirmed.set(call.request, call);
  }
  for (const call of calls) {
    if (call.kind !== 'change' || (call.answer !== 'stale' && call.answer !== 'invalid')) continue;
    const before = confirmed.get(call.request);
    if (before && before.end < call.start)
      return { kind: 'refusedAfterConfirmed', detail: `${describeCall(call)}, but ${describeCall(before)}` };
  }
  return null;
}

/** Fills in the numbers of unclear changes from reads and answers with the same content. */
function withKnownNumbers(
  initial: InitialConfiguration,
  history: readonly OperatorCall[],
): { readonly calls: OperatorCall[] } | LinearizabilityViolation {
  const contents = new Map<number, string>([[initial.number, initial.content]]);
  const numbers = new Map<string, number>();
  for (const call of history) {
    if (call.kind === 'change' && call.answer !== 'confirmed') continue;
    if (call.number === null) continue;
    const known = contents.get(call.number);
    if (known !== undefined && known !== call.content)
      return {
        kind: 'twoContents',
        detail: `number ${call.number} was returned with the contents ${known} and ${call.content}`,
      };
    contents.set(call.number, call.content);
    numbers.set(call.content, call.number);
  }
  const calls: OperatorCall[] = [];
  for (const call of history)
    calls.push(
      call.kind === 'change' && call.number === null ? { ...call, number: numbers.get(call.content) ?? null } : call,
    );
  return { calls };
}

function createSearch(initial: InitialConfiguration, calls: readonly OperatorCall[]): Search {
  const callIds = new Map<OperatorCall, number>();
  for (const call of calls) callIds.set(call, callIds.size);
  const first: Version = {
    id: 0,
    parent: null,
    request: '',
    base: -1,
    number: initial.number,
    content: initial.content,
  };
  return {
    versions: new Map(),
    callIds,
    unclearByBase: new Map(),
    sharedChanges: findSharedChanges(calls),
    candidates: [{ version: first, pending: new Set() }],
  };
}

function changeKey({ base, content }: ChangeCall): string {
  return JSON.stringify([base, content]);
}

function findSharedChanges(calls: readonly OperatorCall[]): Set<string> {
  const requests = new Map<string, string>();
  const sharedKeys = new Set<string>();
  for (const call of calls) {
    if (call.kind !== 'change') continue;
    const key = changeKey(call);
    const known = requests.get(key);
    if (known !== undefined && known !== call.request) sharedKeys.add(key);
    requests.set(key, call.request);
  }
  return sharedKeys;
}

/** Returns starts and ends by time. Starts come before ends at the same time, so such calls count as overlapping. */
function eventsOf(calls: readonly OperatorCall[]): Event[] {
  const events: Event[] = [];
  for (const call of calls) {
    events.push({ at: call.start, isEnd: false, call });
    if (!isUnclear(call)) events.push({ at: call.end, isEnd: true, call });
  }
  return events.sort(byTime);
}

function byTime(left: Event, right: Event): number {
  return left.at - right.at || Number(left.isEnd) - Number(right.isEnd);
}

function isUnclear(call: OperatorCall): call is ChangeCall {
  return call.kind === 'change' && call.answer === 'unclear';
}

function onStart(search: Search, call: OperatorCall): void {
  if (isUnclear(call)) {
    const sameBase = search.unclearByBase.get(call.base);
    if (sameBase) sameBase.push(call);
    else search.unclearByBase.set(call.base, [call]);
    return;
  }
  const next: Candidate[] = [];
  for (const { version, pending } of search.candidates) next.push(linearizeUnchanging(version, [...pending, call]));
  search.candidates = distinct(search, next);
}

/** Returns all possible states in which the call that ends here is linearized. */
function onEnd(search: Search, call: OperatorCall): Candidate[] {
  const done: Candidate[] = [];
  const seen = new Set<string>();
  const frontier = [...search.candidates];
  while (frontier.length > 0 && done.length <= MAX_CANDIDATES) {
    const candidate = frontier.pop() as Candidate;
    const key = keyOf(search, candidate);
    if (seen.has(key)) continue;
    seen.add(key);
    if (candidate.pending.has(call)) frontier.push(...successors(search, candidate));
    else done.push(candidate);
  }
  return done;
}

/** Returns the states after one more change that is based on this one. */
function successors(search: Search, candidate: Candidate): Candidate[] {
  const { version, pending } = candidate;
  if (version.number === null) return [];
  const next: Candidate[] = [];
  for (const call of pending) {
    if (call.kind !== 'change' || call.answer !== 'confirmed' || call.base !== version.number) continue;
    next.push(linearizeUnchanging(applyChange(search, version, call), pending));
  }
  for (const call of search.unclearByBase.get(version.number) ?? [])
    next.push(linearizeUnchanging(applyChange(search, version, call), pending));
  return next;
}

function applyChange(search: Search, parent: Version, call: ChangeCall): Version {
  const request = search.sharedChanges.has(changeKey(call)) ? ANY_REQUEST : call.request;
  const key = JSON.stringify([parent.id, request, call.number, call.content]);
  const known = search.versions.get(key);
  if (known) return known;
  const { base, number, content } = call;
  const version: Version = { id: search.versions.size + 1, parent, request, base, number, content };
  search.versions.set(key, version);
  return version;
}

/** Linearizes all pending calls that leave the register unchanged and whose answers are consistent with it. */
function linearizeUnchanging(version: Version, pending: Iterable<OperatorCall>): Candidate {
  const stillPending = new Set<OperatorCall>();
  for (const call of pending) if (!isConsistent(version, call)) stillPending.add(call);
  return { version, pending: stillPending };
}

function isConsistent(version: Version, call: OperatorCall): boolean {
  if (call.kind === 'read')
    return version.content === call.content && (version.number === null || version.number === call.number);
  if (call.answer === 'confirmed') return hasApplied(version, call, isSameChange);
  if (hasApplied(version, call, isSameRequest)) return false;
  return call.answer === 'invalid' || (version.number !== call.base && !isSameChange(version, call));
}

function isSameRequest(version: Version, call: ChangeCall): boolean {
  return version.request === call.request;
}

/** Another request with the same base, number and content is the same change. */
function isSameChange(version: Version, call: ChangeCall): boolean {
  const isSame = isSameRequest(version, call) || (version.base === call.base && version.content === call.content);
  return isSame && (version.number === null || call.number === null || version.number === call.number);
}

/** Whether a change was applied on the way to this version. */
function hasApplied(
  version: Version,
  call: ChangeCall,
  isSame: (version: Version, call: ChangeCall) => boolean,
): boolean {
  for (let ancestor: Version | null = version; ancestor?.parent; ancestor = ancestor.parent) {
    if (isSame(ancestor, call)) return true;
    if (ancestor.base < call.base) return false;
  }
  return false;
}

function distinct(search: Search, candidates: readonly Candidate[]): Candidate[] {
  const byKey = new Map<string, Candidate>();
  for (const candidate of candidates) byKey.set(keyOf(search, candidate), candidate);
  return [...byKey.values()];
}

function keyOf(search: Search, { version, pending }: Candidate): string {
  const ids: number[] = [];
  for (const call of pending) ids.push(search.callIds.get(call) as number);
  return `${version.id}:${ids.sort(ascending).join()}`;
}

function ascending(left: number, right: number): number {
  return left - right;
}

/** Classifies a violation at a call, by the most specific reason that the calls before it give. */
function classifyViolation(
  initial: InitialConfiguration,
  calls: readonly OperatorCall[],
  call: OperatorCall,
): LinearizabilityViolation {
  const detail = describeCall(call);
  if (call.kind === 'read') {
    const newest = newestKnownBefore(initial, calls, call);
    return call.number < newest
      ? { kind: 'olderRead', detail: `${detail}, but ${newest} was confirmed or read before it` }
      : { kind: 'unexplained', detail };
  }
  for (const other of calls) {
    if (other === call || other.kind !== 'change' || other.answer !== 'confirmed' || other.base !== call.base) continue;
    if (call.answer === 'confirmed' && other.request !== call.request)
      return { kind: 'twoWinners', detail: `${detail}, and ${describeCall(other)}` };
  }
  return { kind: 'unexplained', detail };
}

function newestKnownBefore(initial: InitialConfiguration, calls: readonly OperatorCall[], call: OperatorCall): number {
  let newest = initial.number;
  for (const other of calls) {
    const isClear = other.kind === 'read' || other.answer === 'confirmed';
    if (isClear && other.end < call.start && other.number !== null) newest = Math.max(newest, other.number);
  }
  return newest;
}
