/**
 * What callers and workers of a simulated edge saw on their own connections, and the rules that it must
 * keep. Nothing here comes from inside the proxy.
 */

/** How often a request may run; see state/attempt-outcome.ts. */
export type AskedKind = 'once' | 'repeatable' | 'stream' | 'resumable';

/** A request as its caller knows it. */
export type Asked = {
  readonly id: string;
  readonly kind: AskedKind;
  readonly deadlineMs: number;
  readonly attempts: number;
  readonly events: number;
  /** When the proxy read it; one that is frozen can't know how long it lay unread. */
  readAt: number;
  leftAt: number | null;
  status: number;
  seal: string | null;
  body: string;
  end: 'none' | 'whole' | 'cut';
};

/** A request as it came to a worker, and what the worker did about it. */
export type Arrival = {
  readonly id: string;
  readonly worker: string;
  readonly at: number;
  readonly handedMs: number;
  readonly body: string;
  /** The seal of the run, or null where it did not run. */
  seal: string | null;
  /** The status that the worker gave with its seal, or 0. */
  status: number;
  /** Body of the whole answer of a run that is no stream. */
  whole: string;
};

export type EdgeJournal = { readonly asked: Asked[]; readonly arrivals: Arrival[] };

/** A rule that was broken, and where. */
export type BrokenRule = { readonly rule: string; readonly detail: string };

/** What the fleet shares for attempts beyond the first. */
export type BudgetRule = { readonly ratio: number; readonly slack: number };

const PROMISES: ReadonlySet<number> = new Set([503, 429, 408, 421]);
/** How late a request may still reach a worker after its caller left. */
const LEFT_SLACK_MS = 500;
/** The way from the proxy to a worker. */
const DEADLINE_SLACK_MS = 10;

/** The text of one event of a stream. */
export function eventText(id: string, number: number): string {
  return `id: ${number}\ndata: ${id}/${number}\n\n`;
}

/** The body that a caller sends with a request. */
export function bodyOf(id: string): string {
  return `body of ${id}`;
}

/** All rules that the journal shows as broken. */
export function checkEdgeJournal(journal: EdgeJournal, budget: BudgetRule): BrokenRule[] {
  const broken: BrokenRule[] = [];
  const byId = new Map<string, Arrival[]>();
  const known = new Set(journal.asked.map(idOf));
  for (const arrival of journal.arrivals) {
    byId.set(arrival.id, [...(byId.get(arrival.id) ?? []), arrival]);
    if (!known.has(arrival.id) || arrival.body !== bodyOf(arrival.id))
      broken.push({ rule: 'unasked', detail: arrival.id });
  }
  for (const asked of journal.asked) broken.push(...checkAsked(asked, byId.get(asked.id) ?? []));
  const further = journal.arrivals.length - byId.size;
  if (further > budget.ratio * journal.asked.length + budget.slack)
    broken.push({ rule: 'budget', detail: `${further} further arrivals` });
  return broken;
}

function idOf(asked: Asked): string {
  return asked.id;
}
function hasRun(arrival: Arrival): boolean {
  return arrival.seal !== null;
}

function checkAsked(asked: Asked, arrivals: readonly Arrival[]): BrokenRule[] {
  const broken: BrokenRule[] = [];
  function note(rule: string, detail: string): void {
    broken.push({ rule, detail: `${asked.id} (${asked.kind}): ${detail}` });
  }
  const runs = arrivals.filter(hasRun);
  const repeatable = asked.kind === 'repeatable' || asked.kind === 'resumable';
  if (!repeatable && runs.length > 1) note('twice', `ran ${runs.length} times`);
  if (PROMISES.has(asked.status) && runs.length > 0) note('refused', `told ${asked.status}, ran ${runs.length} times`);
  if (arrivals.length > asked.attempts) note('attempts', `${arrivals.length} sent, ${asked.attempts} allowed`);
  if (asked.leftAt === null && asked.end === 'none') note('unanswered', `status ${asked.status}`);
  for (const arrival of arrivals) checkTimes(asked, arrival, note);
  checkAnswer(asked, runs, note);
  return broken;
}

type Note = (rule: string, detail: string) => void;

function checkTimes(asked: Asked, arrival: Arrival, note: Note): void {
  const deadlineAt = asked.readAt + asked.deadlineMs + DEADLINE_SLACK_MS;
  if (asked.leftAt !== null && arrival.at > asked.leftAt + LEFT_SLACK_MS)
    note('gone', `arrived ${Math.round(arrival.at - asked.leftAt)} ms after its caller left`);
  if (arrival.at > deadlineAt) note('late', `arrived ${Math.round(arrival.at - deadlineAt)} ms after its deadline`);
  if (arrival.at + arrival.handedMs > deadlineAt) note('handed', `handed ${arrival.handedMs} ms`);
}

function checkAnswer(asked: Asked, runs: readonly Arrival[], note: Note): void {
  if (asked.status === 0) return;
  function isItsRun(one: Arrival): boolean {
    return one.seal === asked.seal;
  }
  const run = runs.find(isItsRun);
  const success = asked.status >= 200 && asked.status < 300;
  if (asked.seal !== null && !run) note('mixed', `seal ${asked.seal} of another request`);
  if (success && asked.seal === null) note('mixed', 'a success without a seal');
  if (!success && run && run.status !== asked.status)
    note('mixed', `the seal of a ${run.status} under a ${asked.status}`);
  if (!success) return;
  if (asked.kind === 'stream' || asked.kind === 'resumable') checkEvents(asked, note);
  else if (asked.end === 'whole' && run && asked.body !== run.whole) note('mixed', 'not the whole body of its worker');
}

function checkEvents(asked: Asked, note: Note): void {
  let expected = '';
  let count = 0;
  while (expected.length < asked.body.length) expected += eventText(asked.id, (count += 1));
  if (asked.body !== expected) note('order', `events ${JSON.stringify(asked.body.slice(-60))}`);
  else if (asked.end === 'whole' && count !== asked.events)
    note('order', `ended after ${count} of ${asked.events} events`);
}
