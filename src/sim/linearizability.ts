/**
 * Judges the calls of operators, as their callers saw them, against one compare-and-set register: the configuration.
 * A change names the number that it builds on and is applied only on that one; sent again, it is the same change. The
 * history is linearizable if each call can be given one moment between its start and its end so that a single register,
 * asked at these moments, gives the same answers. Calls without a clear answer may take effect at any time after their
 * start, or never.
 *
 * The search is the one of Wing and Gong with Lowe's just-in-time order: it goes through starts and ends by time and
 * keeps all registers that are still possible. A call that leaves the register as it is takes its moment as soon as its
 * answer fits, which loses no solution; only changes that apply make the search branch.
 */
import { textOf } from './operator-calls.js';
import type { ChangeCall, InitialConfiguration, OperatorCall } from './operator-calls.js';

/** `unexplained` stands for all that has no plainer name. */
export type ViolationKind =
  'twoWinners' | 'refusedAfterConfirmed' | 'olderRead' | 'twoContents' | 'unexplained' | 'searchTooLarge';

export type LinearizabilityViolation = { readonly kind: ViolationKind; readonly detail: string };

/** A configuration that the register may hold, with all that led to it. Equal histories are one object. */
type Version = {
  readonly id: number;
  readonly parent: Version | null;
  readonly request: string;
  readonly base: number;
  readonly number: number | null;
  readonly content: string;
};

/** A register that is possible, and the calls with a clear answer that have not had their moment in it yet. */
type Candidate = { readonly version: Version; readonly waiting: ReadonlySet<OperatorCall> };

type Event = { readonly at: number; readonly isEnd: boolean; readonly call: OperatorCall };

/** Stands for the request of a change that was sent under several. */
const ANY_REQUEST = '';

/** More registers than this at one time mean that the history is too unclear to be judged. */
const MAX_CANDIDATES = 50_000;

type Search = {
  readonly versions: Map<string, Version>;
  readonly callIds: Map<OperatorCall, number>;
  readonly unclearByBase: Map<number, ChangeCall[]>;
  /** Changes that were sent under several requests: which of them was applied can't be told, and is left open. */
  readonly shared: ReadonlySet<string>;
  candidates: Candidate[];
};

/** The first thing about a history that no order of its calls explains, or null. */
export function checkLinearizable(
  initial: InitialConfiguration,
  history: readonly OperatorCall[],
): LinearizabilityViolation | null {
  const numbered = withNumbers(initial, history);
  if ('kind' in numbered) return numbered;
  const refused = refusedAfterConfirmed(numbered.calls);
  if (refused) return refused;
  const search = createSearch(initial, numbered.calls);
  for (const event of eventsOf(numbered.calls)) {
    if (event.isEnd) search.candidates = afterEnd(search, event.call);
    else started(search, event.call);
    if (search.candidates.length === 0) return violationOf(initial, numbered.calls, event.call);
    if (search.candidates.length > MAX_CANDIDATES)
      return {
        kind: 'searchTooLarge',
        detail: `more than ${MAX_CANDIDATES} registers are possible at ${event.at.toFixed(0)}`,
      };
  }
  return null;
}

/** A request that was confirmed, as its own change or as the same as another one, is never refused afterwards. */
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
      return { kind: 'refusedAfterConfirmed', detail: `${textOf(call)}, but ${textOf(before)}` };
  }
  return null;
}

/** Gives unclear changes the number that a read or an answer told for their content. */
function withNumbers(
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
        detail: `number ${call.number} is told with the contents ${known} and ${call.content}`,
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
    shared: sharedChanges(calls),
    candidates: [{ version: first, waiting: new Set() }],
  };
}

function changeKey({ base, content }: ChangeCall): string {
  return JSON.stringify([base, content]);
}

function sharedChanges(calls: readonly OperatorCall[]): Set<string> {
  const requests = new Map<string, string>();
  const shared = new Set<string>();
  for (const call of calls) {
    if (call.kind !== 'change') continue;
    const key = changeKey(call);
    const known = requests.get(key);
    if (known !== undefined && known !== call.request) shared.add(key);
    requests.set(key, call.request);
  }
  return shared;
}

/** Starts and ends by time; of those at one time the starts come first, which takes the calls for overlapping. */
function eventsOf(calls: readonly OperatorCall[]): Event[] {
  const events: Event[] = [];
  for (const call of calls) {
    events.push({ at: call.start, isEnd: false, call });
    if (!isUnclear(call)) events.push({ at: call.end, isEnd: true, call });
  }
  return events.sort(earlier);
}

function earlier(left: Event, right: Event): number {
  return left.at - right.at || Number(left.isEnd) - Number(right.isEnd);
}

function isUnclear(call: OperatorCall): call is ChangeCall {
  return call.kind === 'change' && call.answer === 'unclear';
}

function started(search: Search, call: OperatorCall): void {
  if (isUnclear(call)) {
    const others = search.unclearByBase.get(call.base);
    if (others) others.push(call);
    else search.unclearByBase.set(call.base, [call]);
    return;
  }
  const next: Candidate[] = [];
  for (const { version, waiting } of search.candidates) next.push(settled(version, [...waiting, call]));
  search.candidates = distinct(search, next);
}

/** All registers in which the call that ends here has had its moment. */
function afterEnd(search: Search, call: OperatorCall): Candidate[] {
  const done: Candidate[] = [];
  const seen = new Set<string>();
  const open = [...search.candidates];
  while (open.length > 0 && done.length <= MAX_CANDIDATES) {
    const candidate = open.pop() as Candidate;
    const key = keyOf(search, candidate);
    if (seen.has(key)) continue;
    seen.add(key);
    if (candidate.waiting.has(call)) open.push(...successors(search, candidate));
    else done.push(candidate);
  }
  return done;
}

/** The registers after one more change that builds on this one. */
function successors(search: Search, candidate: Candidate): Candidate[] {
  const { version, waiting } = candidate;
  if (version.number === null) return [];
  const next: Candidate[] = [];
  for (const call of waiting) {
    if (call.kind !== 'change' || call.answer !== 'confirmed' || call.base !== version.number) continue;
    next.push(settled(applied(search, version, call), waiting));
  }
  for (const call of search.unclearByBase.get(version.number) ?? [])
    next.push(settled(applied(search, version, call), waiting));
  return next;
}

function applied(search: Search, parent: Version, call: ChangeCall): Version {
  const request = search.shared.has(changeKey(call)) ? ANY_REQUEST : call.request;
  const key = JSON.stringify([parent.id, request, call.number, call.content]);
  const known = search.versions.get(key);
  if (known) return known;
  const { base, number, content } = call;
  const made: Version = { id: search.versions.size + 1, parent, request, base, number, content };
  search.versions.set(key, made);
  return made;
}

/** Gives their moment to all waiting calls whose answers fit the register and that leave it as it is. */
function settled(version: Version, waiting: Iterable<OperatorCall>): Candidate {
  const left = new Set<OperatorCall>();
  for (const call of waiting) if (!fits(version, call)) left.add(call);
  return { version, waiting: left };
}

function fits(version: Version, call: OperatorCall): boolean {
  if (call.kind === 'read')
    return version.content === call.content && (version.number === null || version.number === call.number);
  if (call.answer === 'confirmed') return holds(version, call, isSameChange);
  if (holds(version, call, isSameRequest)) return false;
  return call.answer === 'invalid' || (version.number !== call.base && !isSameChange(version, call));
}

function isSameRequest(version: Version, call: ChangeCall): boolean {
  return version.request === call.request;
}

/** Another request with the same base, number and result is the same change. */
function isSameChange(version: Version, call: ChangeCall): boolean {
  const isSame = isSameRequest(version, call) || (version.base === call.base && version.content === call.content);
  return isSame && (version.number === null || call.number === null || version.number === call.number);
}

/** Whether a change is in the history of a register. */
function holds(version: Version, call: ChangeCall, isSame: (version: Version, call: ChangeCall) => boolean): boolean {
  for (let at: Version | null = version; at?.parent; at = at.parent) {
    if (isSame(at, call)) return true;
    if (at.base < call.base) return false;
  }
  return false;
}

function distinct(search: Search, candidates: readonly Candidate[]): Candidate[] {
  const byKey = new Map<string, Candidate>();
  for (const candidate of candidates) byKey.set(keyOf(search, candidate), candidate);
  return [...byKey.values()];
}

function keyOf(search: Search, { version, waiting }: Candidate): string {
  const ids: number[] = [];
  for (const call of waiting) ids.push(search.callIds.get(call) as number);
  return `${version.id}:${ids.sort(ascending).join()}`;
}

function ascending(left: number, right: number): number {
  return left - right;
}

/** Names what can't be explained, by the plainest reason that the calls before it give. */
function violationOf(
  initial: InitialConfiguration,
  calls: readonly OperatorCall[],
  call: OperatorCall,
): LinearizabilityViolation {
  const detail = textOf(call);
  if (call.kind === 'read') {
    const newest = newestBefore(initial, calls, call);
    return call.number < newest
      ? { kind: 'olderRead', detail: `${detail}, but ${newest} was confirmed or read before it` }
      : { kind: 'unexplained', detail };
  }
  for (const other of calls) {
    if (other === call || other.kind !== 'change' || other.answer !== 'confirmed' || other.base !== call.base) continue;
    if (call.answer === 'confirmed' && other.request !== call.request)
      return { kind: 'twoWinners', detail: `${detail}, and ${textOf(other)}` };
  }
  return { kind: 'unexplained', detail };
}

function newestBefore(initial: InitialConfiguration, calls: readonly OperatorCall[], call: OperatorCall): number {
  let newest = initial.number;
  for (const other of calls) {
    const isClear = other.kind === 'read' || other.answer === 'confirmed';
    if (isClear && other.end < call.start && other.number !== null) newest = Math.max(newest, other.number);
  }
  return newest;
}
