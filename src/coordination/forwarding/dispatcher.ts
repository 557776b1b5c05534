/**
 * The ticketed HTTP server's way of a request: wait for a worker, claim the key of one that may run once,
 * send it there, and go on elsewhere where `decide` allows it (docs/repeats.md). A run-once request is
 * dispatched only under a claim, and its claim is released only where nothing may have run.
 */
import type { Failure, Submit } from '../../protocol/caller-wire.js';
import type { Run, CompleteResponse } from '../../protocol/worker-wire.js';
import { decide, mayHaveRun } from '../../state/forwarding/attempt-outcome.js';
import type { RunKey } from '../../state/idempotency/run-key.js';
import { createRetryBudget } from '../../state/forwarding/retry-budget.js';
import type { Resolved } from '../../state/configuration/settings-tree.js';
import type { AdmissionToken } from '../../state/forwarding/admission-token.js';
import type { WorkerRow } from '../../state/discovery/worker-row.js';
import type { WorkerTable } from '../../state/discovery/worker-table.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { newId } from '../../transport/rng.js';
import type { Rng } from '../../transport/rng.js';
import type { ClaimClient, ClaimOutcome } from '../idempotency/claim-client.js';
import { createPendingCalls } from './pending-calls.js';
import type { PendingCalls } from './pending-calls.js';
import { rejection } from './placement-service.js';
import type { PlacementService } from './placement-service.js';
import { createWorkerSlotQueue } from './worker-slot-queue.js';
import type { WorkerSlot, WorkerSlotQueue } from './worker-slot-queue.js';
import { createWorkerCalls } from './worker-call.js';
import type { AnswerLine, WorkerCallEnd, WorkerCall } from './worker-call.js';

export type { AnswerLine } from './worker-call.js';

/** What the HTTP server answers. */
export type Submission =
  | { readonly tag: 'whole'; readonly answer: CompleteResponse }
  | { readonly tag: 'stream'; readonly lines: AsyncIterable<AnswerLine> }
  | { readonly tag: 'failed'; readonly failure: Failure; readonly retryAfterS: number };

/** Counts since the process began, and what is queued and in flight now. */
export type Tally = {
  readonly requests: Readonly<Record<string, number>>;
  readonly shed: number;
  readonly attempted: number;
  readonly retried: number;
  readonly cut: number;
  readonly waiting: number;
  readonly inFlight: number;
};

/** Serves requests whose admission token was checked. */
export interface Dispatcher {
  /** Serves a request whose ticket was checked; `key` is set for one that may run once. */
  submit(token: AdmissionToken, body: Submit, key: RunKey | null, gone: () => boolean): Promise<Submission>;
  countRequest(model: string): void;
  countRejected(): void;
  wake(): void;
  tally(): Tally;
  stopTaking(): void;
  stop(): void;
}

/** What a dispatcher works with; while `ready` is false nothing is sent. */
export type DispatcherDeps = {
  readonly ready: () => boolean;
  readonly placement: PlacementService;
  readonly table: WorkerTable;
  readonly claims: ClaimClient;
  readonly httpClient: HttpClient;
  readonly clock: Clock;
  readonly rng: Rng;
  readonly log: Log;
};

/** One submission from its arrival to its end. */
type Job = {
  readonly token: AdmissionToken;
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

type AcquiredSlot = Extract<WorkerSlot, { tag: 'seat' }>;

const KEYS_FULL_S = 3_600;
const RETRY_AFTER_S = 1;
const LOOK_MS = 100;

class TokenDispatcher implements Dispatcher {
  private readonly budget = createRetryBudget();
  private readonly pending: PendingCalls;
  private readonly queue: WorkerSlotQueue;
  private readonly callWorker: (call: WorkerCall) => Promise<WorkerCallEnd>;
  private readonly requests: Record<string, number> = {};
  private rejectedCount = 0;
  private attempted = 0;
  private retried = 0;
  private cut = 0;
  private readonly ticking: Timer;

  constructor(private readonly deps: DispatcherDeps) {
    this.pending = createPendingCalls(this.deps.table, this.deps.clock);
    this.queue = createWorkerSlotQueue({
      ready: this.deps.ready,
      placement: this.deps.placement,
      table: this.deps.table,
      clock: this.deps.clock,
    });
    this.callWorker = createWorkerCalls({
      table: this.deps.table,
      pending: this.pending,
      httpClient: this.deps.httpClient,
      clock: this.deps.clock,
      log: this.deps.log,
      leave: (row) => this.queue.release(row),
      onCut: () => this.onTruncated(),
    });
    this.ticking = every(this.deps.clock, LOOK_MS, () => this.checkPending());
  }

  private checkPending(): void {
    this.pending.endLost();
    this.queue.wake();
  }

  private onTruncated(): void {
    this.cut += 1;
  }

  private failed(failure: Failure, retryAfterS = RETRY_AFTER_S): Submission {
    if (failure.tag === 'shed') this.rejectedCount += 1;
    return { tag: 'failed', failure, retryAfterS };
  }

  async submit(token: AdmissionToken, body: Submit, key: RunKey | null, gone: () => boolean): Promise<Submission> {
    const resolved = this.deps.placement.resolved(token.model);
    if (!resolved) return this.failed({ tag: 'unknownModel' });
    const { values } = resolved;
    const now = this.deps.clock.mono();
    const deadlineAt = now + values.requestDeadlineMs;
    const waitUntil = Math.min(deadlineAt, now + values.lineWaitMs);
    const parts: string[] = [];
    for (const part of body.parts) parts.push(part.hash);
    return this.run({
      token,
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
  private async run(job: Job): Promise<Submission> {
    for (;;) {
      const slot = await this.queue.acquire(job);
      if (slot.tag === 'none') return this.notRun(job, rejection(slot.reason), Math.ceil(slot.comeBackMs / 1_000));
      if (job.key !== null && !job.claimed) {
        const refusal = await this.claim(job, job.key, slot);
        if (refusal) return refusal;
        if (!this.stillGood(slot.row)) {
          this.queue.release(slot.row);
          continue;
        }
      }
      if (job.gone() || this.deps.clock.mono() >= job.deadlineAt) {
        this.queue.release(slot.row);
        return this.notRun(job, rejection('lineWaitOver'), RETRY_AFTER_S);
      }
      const end = await this.send(job, slot);
      if (end.tag !== 'failed') return this.served(job, slot, end);
      job.avoid.add(slot.candidate.index);
      if (!this.mayGoOn(job, end)) return this.ended(job, end);
    }
  }

  /** Claims the key of a run-once request, once; a submission is what the caller gets if that failed. */
  private async claim(job: Job, key: RunKey, slot: AcquiredSlot): Promise<Submission | null> {
    const outcome = await this.deps.claims.claim(key, job.token.id);
    if (outcome.tag !== 'claimed') {
      this.queue.release(slot.row);
      return this.claimRefused(outcome);
    }
    job.claimed = true;
    return null;
  }

  private claimRefused(outcome: Exclude<ClaimOutcome, { tag: 'claimed' }>): Submission {
    switch (outcome.tag) {
      case 'noMajority':
        return this.failed(rejection('noMajority'));
      case 'full':
        return this.failed(rejection('keysFull'), KEYS_FULL_S);
      case 'tooOld':
        return this.failed({ tag: 'keyTooOld' });
      case 'taken':
        return this.failed({ tag: outcome.answered ? 'alreadyAnswered' : 'outcomeUnknown' });
    }
  }

  private stillGood(row: WorkerRow): boolean {
    return this.deps.ready() && this.deps.table.isCurrent(row) && row.present && !row.leaving && row.missedProbes === 0;
  }

  private send(job: Job, { candidate, row }: AcquiredSlot): Promise<WorkerCallEnd> {
    if (job.attempts > 0) this.retried += 1;
    else this.budget.recordAttempt(job.values.retryShare);
    job.attempts += 1;
    this.attempted += 1;
    const run: Run = {
      requestId: job.token.requestId,
      attemptId: newId(this.deps.rng, 'd'),
      model: job.token.model,
      parts: job.body.parts,
      outputTokens: job.body.outputTokens,
      stream: job.body.stream,
    };

    const sealed = (): void => {
      this.recordAnswered(job);
    };
    return this.callWorker({
      candidate,
      row,
      run,
      deadlineAt: job.deadlineAt,
      pieceWaitMs: job.values.pieceWaitMs,
      gone: job.gone,
      sealed,
    });
  }

  private served(job: Job, { candidate }: AcquiredSlot, end: Exclude<WorkerCallEnd, { tag: 'failed' }>): Submission {
    this.deps.table.recordServed(candidate.index);
    this.deps.table.prefixes.learn(this.deps.table.modelIx(job.token.model), job.parts, candidate.index);
    if (end.tag === 'whole') this.recordAnswered(job);
    return end;
  }

  private mayGoOn(job: Job, end: Extract<WorkerCallEnd, { tag: 'failed' }>): boolean {
    const earlier = job.ranAndBroke !== null;
    if (mayHaveRun(end.outcome)) job.ranAndBroke = job.key === null ? end.failure : { tag: 'outcomeUnknown' };
    const decision = decide(end.outcome, {
      repeatability: job.key === null ? 'repeatable' : 'once',
      answerBegun: false,
      canResume: false,
      mayHaveRun: earlier,
      leftMs: job.deadlineAt - this.deps.clock.mono(),
      acquireAttempt: () => this.budget.spend(),
    });
    return decision.tag === 'repeat';
  }

  private ended(job: Job, end: Extract<WorkerCallEnd, { tag: 'failed' }>): Submission {
    const retryAfterS = end.outcome.tag === 'notExecuted' ? end.outcome.retryAfterS : RETRY_AFTER_S;
    return this.notRun(job, rejection('workersShed'), retryAfterS);
  }

  /** The last word: that it was not run, and the claim released, unless an attempt may have run. */
  private notRun(job: Job, failure: Failure, retryAfterS: number): Submission {
    if (job.ranAndBroke) return this.failed(job.ranAndBroke);
    if (job.claimed && job.key !== null) this.deps.claims.end(job.key, job.token.id, 'released');
    return this.failed(failure, retryAfterS);
  }

  private recordAnswered(job: Job): void {
    if (job.key !== null) this.deps.claims.end(job.key, job.token.id, 'answered');
  }

  countRequest(model: string): void {
    this.requests[model] = (this.requests[model] ?? 0) + 1;
  }

  countRejected(): void {
    this.rejectedCount += 1;
  }

  tally(): Tally {
    return {
      requests: { ...this.requests },
      shed: this.rejectedCount,
      attempted: this.attempted,
      retried: this.retried,
      cut: this.cut,
      waiting: this.queue.waiting(),
      inFlight: this.pending.open(),
    };
  }

  wake(): void {
    this.queue.wake();
  }

  stopTaking(): void {
    this.queue.close();
  }

  stop(): void {
    this.ticking.cancel();
  }
}

/** A dispatcher without any request. */
export function createDispatcher(deps: DispatcherDeps): Dispatcher {
  return new TokenDispatcher(deps);
}
