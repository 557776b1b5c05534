/**
 * What callers and workers of a simulated edge observed on their own connections, and the rules that these observations
 * must satisfy. Nothing here is read from inside the proxy.
 */

/** How often a request may run; see state/forwarding/attempt-outcome.ts. */
export type RequestKind = 'once' | 'repeatable' | 'stream' | 'resumable';

/** A request as its caller sees it. */
export type CallerRequest = {
  readonly id: string;
  readonly kind: RequestKind;
  readonly deadlineMs: number;
  readonly attempts: number;
  readonly events: number;
  /** When the proxy read the request. A paused proxy can't know how long the request was unread before. */
  readAt: number;
  disconnectedAt: number | null;
  status: number;
  seal: string | null;
  body: string;
  end: 'none' | 'whole' | 'cut';
};

/** A request as it arrived at a worker, and what the worker did with it. */
export type Arrival = {
  readonly id: string;
  readonly worker: string;
  readonly at: number;
  readonly remainingMs: number;
  readonly body: string;
  /** The seal (digest header) of the run, or null if the request did not run. */
  seal: string | null;
  /** The status that the worker sent with its seal, or 0. */
  status: number;
  /** Complete body of the response of a run that isn't a stream. */
  fullBody: string;
};

/**
 * The record of a day: `asked` has one entry for each request, `arrivals` one for each attempt that arrived at a
 * worker. The entries are updated in place while the day runs.
 */
export type EdgeJournal = { readonly asked: CallerRequest[]; readonly arrivals: Arrival[] };

/** A broken rule, and where it was broken. */
export type BrokenRule = { readonly rule: string; readonly detail: string };

/** Limit on further attempts: `ratio` of all requests plus `slack`. */
export type AttemptBudgetLimit = { readonly ratio: number; readonly slack: number };

/** Statuses with which the proxy states that the request did not run. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([503, 429, 408, 421]);
/** How long after its caller disconnected a request may still arrive at a worker. */
const DISCONNECT_SLACK_MS = 500;
/** Allowance for the network delay from the proxy to a worker. */
const DEADLINE_SLACK_MS = 10;

/** Returns the text of one event of a stream. */
export function eventText(id: string, number: number): string {
  return `id: ${number}\ndata: ${id}/${number}\n\n`;
}

/** Returns the body that a caller sends with a request. */
export function requestBodyOf(id: string): string {
  return `body of ${id}`;
}

/** Returns all rules that the journal shows to be broken. */
export function checkEdgeJournal(journal: EdgeJournal, budget: AttemptBudgetLimit): BrokenRule[] {
  const broken: BrokenRule[] = [];
  const byId = new Map<string, Arrival[]>();
  const known = new Set(journal.asked.map(idOf));
  for (const arrival of journal.arrivals) {
    byId.set(arrival.id, [...(byId.get(arrival.id) ?? []), arrival]);
    if (!known.has(arrival.id) || arrival.body !== requestBodyOf(arrival.id))
      broken.push({ rule: 'unasked', detail: arrival.id });
  }
  for (const request of journal.asked) broken.push(...checkRequest(request, byId.get(request.id) ?? []));
  const retryCount = journal.arrivals.length - byId.size;
  if (retryCount > budget.ratio * journal.asked.length + budget.slack)
    broken.push({ rule: 'budget', detail: `${retryCount} attempts beyond the first` });
  return broken;
}

function idOf(request: CallerRequest): string {
  return request.id;
}
function hasRun(arrival: Arrival): boolean {
  return arrival.seal !== null;
}

function checkRequest(request: CallerRequest, arrivals: readonly Arrival[]): BrokenRule[] {
  const broken: BrokenRule[] = [];
  function report(rule: string, detail: string): void {
    broken.push({ rule, detail: `${request.id} (${request.kind}): ${detail}` });
  }
  const runs = arrivals.filter(hasRun);
  const repeatable = request.kind === 'repeatable' || request.kind === 'resumable';
  if (!repeatable && runs.length > 1) report('twice', `ran ${runs.length} times`);
  if (NOT_EXECUTED_STATUSES.has(request.status) && runs.length > 0)
    report('refused', `answered ${request.status}, ran ${runs.length} times`);
  if (arrivals.length > request.attempts) report('attempts', `${arrivals.length} sent, ${request.attempts} allowed`);
  if (request.disconnectedAt === null && request.end === 'none') report('unanswered', `status ${request.status}`);
  for (const arrival of arrivals) checkTimes(request, arrival, report);
  checkResponse(request, runs, report);
  return broken;
}

type Report = (rule: string, detail: string) => void;

function checkTimes(request: CallerRequest, arrival: Arrival, report: Report): void {
  const deadlineAt = request.readAt + request.deadlineMs + DEADLINE_SLACK_MS;
  if (request.disconnectedAt !== null && arrival.at > request.disconnectedAt + DISCONNECT_SLACK_MS)
    report('gone', `arrived ${Math.round(arrival.at - request.disconnectedAt)} ms after its caller disconnected`);
  if (arrival.at > deadlineAt) report('late', `arrived ${Math.round(arrival.at - deadlineAt)} ms after its deadline`);
  if (arrival.at + arrival.remainingMs > deadlineAt)
    report('handed', `arrived with ${arrival.remainingMs} ms remaining, more than its deadline allows`);
}

function checkResponse(request: CallerRequest, runs: readonly Arrival[], report: Report): void {
  if (request.status === 0) return;
  function hasResponseSeal(arrival: Arrival): boolean {
    return arrival.seal === request.seal;
  }
  const run = runs.find(hasResponseSeal);
  const success = request.status >= 200 && request.status < 300;
  if (request.seal !== null && !run) report('mixed', `seal ${request.seal} of another request`);
  if (success && request.seal === null) report('mixed', 'a success without a seal');
  if (!success && run && run.status !== request.status)
    report('mixed', `the seal of a ${run.status} under a ${request.status}`);
  if (!success) return;
  if (request.kind === 'stream' || request.kind === 'resumable') checkEvents(request, report);
  else if (request.end === 'whole' && run && request.body !== run.fullBody)
    report('mixed', "not the complete body of its worker's response");
}

function checkEvents(request: CallerRequest, report: Report): void {
  let expected = '';
  let count = 0;
  while (expected.length < request.body.length) expected += eventText(request.id, (count += 1));
  if (request.body !== expected) report('order', `events ${JSON.stringify(request.body.slice(-60))}`);
  else if (request.end === 'whole' && count !== request.events)
    report('order', `ended after ${count} of ${request.events} events`);
}
