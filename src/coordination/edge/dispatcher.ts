/**
 * The ticketed HTTP server's way of a request: wait for a worker, claim the key of one that may run once,
 * send it there, and go on elsewhere where `decide` allows it (docs/repeats.md). A run-once request is
 * dispatched only under a claim, and its claim is released only where nothing may have run.
 */
import type { Failure, Submit } from '../../protocol/caller-wire.js';
import type { Run, Whole } from '../../protocol/worker-wire.js';
import { decide, mayHaveRun } from '../../state/attempt-outcome.js';
import type { RunKey } from '../../state/run-key.js';
import { createRetryBudget } from '../../state/retry-budget.js';
import type { Resolved } from '../../state/settings-tree.js';
import type { Ticket } from '../../state/ticket.js';
import type { WorkerRow } from '../../state/worker-row.js';
import type { WorkerTable } from '../../state/worker-table.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { ClaimClient, ClaimOutcome } from './claim-client.js';
import { createFlights } from './flights.js';
import { shed } from './placer.js';
import type { Placer } from './placer.js';
import { createSeatQueue } from './seat-queue.js';
import type { Seat } from './seat-queue.js';
import { createWorkerCalls } from './worker-call.js';
import type { AnswerLine, WorkerCallEnd } from './worker-call.js';

export type { AnswerLine } from './worker-call.js';

/** What the HTTP server answers. */
export type Submission =
  | { readonly tag: 'whole'; readonly answer: Whole }
  | { readonly tag: 'stream'; readonly lines: AsyncIterable<AnswerLine> }
  | { readonly tag: 'failed'; readonly failure: Failure; readonly retryAfterS: number };

export type Tally = {
  readonly requests: Readonly<Record<string, number>>;
  readonly shed: number;
  readonly attempted: number;
  readonly retried: number;
  readonly cut: number;
  readonly waiting: number;
  readonly inFlight: number;
};

export type Dispatcher = {
  /** Serves a request whose ticket was checked; `key` is set for one that may run once. */
  readonly submit: (ticket: Ticket, body: Submit, key: RunKey | null, gone: () => boolean) => Promise<Submission>;
  readonly countRequest: (model: string) => void;
  readonly countShed: () => void;
  readonly wake: () => void;
  readonly tally: () => Tally;
  readonly stopTaking: () => void;
  readonly stop: () => void;
};

export type DispatcherDeps = {
  readonly ready: () => boolean;
  readonly placer: Placer;
  readonly table: WorkerTable;
  readonly claims: ClaimClient;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
};

/** One submission from its arrival to its end. */
type Job = {
  readonly ticket: Ticket;
  readonly body: Submit;
  readonly key: RunKey | null;
  readonly values: Resolved;
  readonly parts: readonly string[];
  readonly deadlineAt: number;
  readonly waitUntil: number;
  readonly gone: () => boolean;
  readonly avoid: Set<number>;
  attempts: number;
  claimed: boolean;
  /** What to tell the caller where an attempt may have run. */
  ranAndBroke: Failure | null;
};

type TakenSeat = Extract<Seat, { tag: 'seat' }>;

const KEYS_FULL_S = 3_600;
const RETRY_AFTER_S = 1;
const LOOK_MS = 100;

export function createDispatcher(deps: DispatcherDeps): Dispatcher {
  const { ready, placer, table, claims, httpClient, clock, rng, log } = deps;
  const budget = createRetryBudget();
  const flights = createFlights(table, clock);
  const queue = createSeatQueue({ ready, placer, table, clock });
  const callWorker = createWorkerCalls({ table, flights, httpClient, clock, log, leave: queue.leave, onCut });
  const requests: Record<string, number> = {};
  let shedCount = 0;
  let attempted = 0;
  let retried = 0;
  let cut = 0;
  const ticking = every(clock, LOOK_MS, look);

  function look(): void {
    flights.endLost();
    queue.wake();
  }
  function onCut(): void {
    cut += 1;
  }

  function failed(failure: Failure, retryAfterS = RETRY_AFTER_S): Submission {
    if (failure.tag === 'shed') shedCount += 1;
    return { tag: 'failed', failure, retryAfterS };
  }

  async function submit(ticket: Ticket, body: Submit, key: RunKey | null, gone: () => boolean): Promise<Submission> {
    const resolved = placer.resolved(ticket.model);
    if (!resolved) return failed({ tag: 'unknownModel' });
    const { values } = resolved;
    const now = clock.mono();
    const deadlineAt = now + values.requestDeadlineMs;
    const waitUntil = Math.min(deadlineAt, now + values.lineWaitMs);
    const parts: string[] = [];
    for (const part of body.parts) parts.push(part.hash);
    return run({
      ticket,
      body,
      key,
      values,
      parts,
      deadlineAt,
      waitUntil,
      gone,
      avoid: new Set(),
      attempts: 0,
      claimed: false,
      ranAndBroke: null,
    });
  }

  /** One worker after the other, until nothing more may follow. */
  async function run(job: Job): Promise<Submission> {
    for (;;) {
      const seat = await queue.seat(job);
      if (seat.tag === 'none') return notRun(job, shed(seat.reason), Math.ceil(seat.comeBackMs / 1_000));
      if (job.key !== null && !job.claimed) {
        const refusal = await claim(job, job.key, seat);
        if (refusal) return refusal;
        if (!stillGood(seat.row)) {
          queue.leave(seat.row);
          continue;
        }
      }
      if (job.gone() || clock.mono() >= job.deadlineAt) {
        queue.leave(seat.row);
        return notRun(job, shed('lineWaitOver'), RETRY_AFTER_S);
      }
      const end = await send(job, seat);
      if (end.tag !== 'failed') return served(job, seat, end);
      job.avoid.add(seat.candidate.ix);
      if (!mayGoOn(job, end)) return ended(job, end);
    }
  }

  /** Claims the key of a run-once request, once; a submission is what the caller gets if that failed. */
  async function claim(job: Job, key: RunKey, seat: TakenSeat): Promise<Submission | null> {
    const outcome = await claims.claim(key, job.ticket.id);
    if (outcome.tag !== 'claimed') {
      queue.leave(seat.row);
      return claimRefused(outcome);
    }
    job.claimed = true;
    return null;
  }
  function claimRefused(outcome: Exclude<ClaimOutcome, { tag: 'claimed' }>): Submission {
    switch (outcome.tag) {
      case 'noMajority':
        return failed(shed('noMajority'));
      case 'full':
        return failed(shed('keysFull'), KEYS_FULL_S);
      case 'tooOld':
        return failed({ tag: 'keyTooOld' });
      case 'taken':
        return failed({ tag: outcome.answered ? 'alreadyAnswered' : 'outcomeUnknown' });
    }
  }

  function stillGood(row: WorkerRow): boolean {
    return ready() && table.isCurrent(row) && row.present && !row.leaving && row.silences === 0;
  }

  function send(job: Job, { candidate, row }: TakenSeat): Promise<WorkerCallEnd> {
    if (job.attempts > 0) retried += 1;
    else budget.noteAttempt(job.values.retryShare);
    job.attempts += 1;
    attempted += 1;
    const run: Run = {
      requestId: job.ticket.requestId,
      attemptId: newId(rng, 'd'),
      model: job.ticket.model,
      parts: job.body.parts,
      outputTokens: job.body.outputTokens,
      stream: job.body.stream,
    };
    function sealed(): void {
      markAnswered(job);
    }
    return callWorker({
      candidate,
      row,
      run,
      deadlineAt: job.deadlineAt,
      pieceWaitMs: job.values.pieceWaitMs,
      gone: job.gone,
      sealed,
    });
  }

  function served(job: Job, { candidate }: TakenSeat, end: Exclude<WorkerCallEnd, { tag: 'failed' }>): Submission {
    table.served(candidate.ix);
    table.prefixes.learn(table.modelIx(job.ticket.model), job.parts, candidate.ix);
    if (end.tag === 'whole') markAnswered(job);
    return end;
  }

  function mayGoOn(job: Job, end: Extract<WorkerCallEnd, { tag: 'failed' }>): boolean {
    const earlier = job.ranAndBroke !== null;
    if (mayHaveRun(end.outcome)) job.ranAndBroke = job.key === null ? end.failure : { tag: 'outcomeUnknown' };
    const decision = decide(end.outcome, {
      repeatability: job.key === null ? 'repeatable' : 'once',
      answerBegun: false,
      canResume: false,
      mayHaveRun: earlier,
      leftMs: job.deadlineAt - clock.mono(),
      takeAttempt: budget.spend,
    });
    return decision.tag === 'repeat';
  }

  function ended(job: Job, end: Extract<WorkerCallEnd, { tag: 'failed' }>): Submission {
    const retryAfterS = end.outcome.tag === 'notExecuted' ? end.outcome.retryAfterS : RETRY_AFTER_S;
    return notRun(job, shed('workersShed'), retryAfterS);
  }

  /** The last word: that it was not run, and the claim released, unless an attempt may have run. */
  function notRun(job: Job, failure: Failure, retryAfterS: number): Submission {
    if (job.ranAndBroke) return failed(job.ranAndBroke);
    if (job.claimed && job.key !== null) claims.end(job.key, job.ticket.id, 'released');
    return failed(failure, retryAfterS);
  }
  function markAnswered(job: Job): void {
    if (job.key !== null) claims.end(job.key, job.ticket.id, 'answered');
  }

  function countRequest(model: string): void {
    requests[model] = (requests[model] ?? 0) + 1;
  }
  function countShed(): void {
    shedCount += 1;
  }
  function tally(): Tally {
    return {
      requests: { ...requests },
      shed: shedCount,
      attempted,
      retried,
      cut,
      waiting: queue.waiting(),
      inFlight: flights.open(),
    };
  }
  return { submit, countRequest, countShed, wake: queue.wake, tally, stopTaking: queue.close, stop: ticking.cancel };
}
