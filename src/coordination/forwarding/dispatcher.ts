/**
 * Dispatches requests of the HTTP server that requires admission tokens: waits for a worker slot, claims the key of a
 * run-once request, sends the request, and retries at another worker if `decideAfterAttempt` allows it
 * (docs/repeats.md). A run-once request is sent only under a claim, and its claim is released only if no attempt may
 * have run.
 */
import type { Failure, SubmittedRequest } from '../../protocol/caller-wire.js';
import type { Run, CompleteResponse } from '../../protocol/worker-wire.js';
import { decideAfterAttempt, mayHaveRun } from '../../state/forwarding/attempt-outcome.js';
import type { RunKey } from '../../state/idempotency/run-key.js';
import { createRetryBudget } from '../../state/forwarding/retry-budget.js';
import type { ResolvedSettings } from '../../state/configuration/settings-tree.js';
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
import type { ResponseLine, WorkerCallEnd, WorkerCall } from './worker-call.js';

export type { ResponseLine } from './worker-call.js';

/** The response that the HTTP server sends to the caller. */
export type Submission =
  | { readonly tag: 'whole'; readonly answer: CompleteResponse }
  | { readonly tag: 'stream'; readonly lines: AsyncIterable<ResponseLine> }
  | { readonly tag: 'failed'; readonly failure: Failure; readonly retryAfterS: number };

/** Counts since the process started, and the number of requests that are queued and in flight now. */
export type DispatcherTally = {
  readonly requests: Readonly<Record<string, number>>;
  readonly shed: number;
  readonly attempted: number;
  readonly retried: number;
  readonly cut: number;
  readonly waiting: number;
  readonly inFlight: number;
};

/** Serves requests whose admission token was verified. */
export interface Dispatcher {
  /** Serves a request whose admission token was verified; `key` is set for a run-once request. */
  submit(
    token: AdmissionToken,
    body: SubmittedRequest,
    key: RunKey | null,
    isCallerGone: () => boolean,
  ): Promise<Submission>;
  countRequest(model: string): void;
  countRejected(): void;
  wake(): void;
  tally(): DispatcherTally;
  /** Rejects all queued and all further requests; requests in flight continue. */
  stopAdmitting(): void;
  stop(): void;
}

/** Dependencies of a dispatcher; while `ready` returns false no request is sent. */
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

/** One submission from its arrival to its end. Times are in milliseconds of the monotonic clock. */
type Job = {
  readonly token: AdmissionToken;
  readonly body: SubmittedRequest;
  readonly key: RunKey | null;
  readonly values: ResolvedSettings;
  readonly parts: readonly string[];
  readonly deadlineAt: number;
  readonly waitUntil: number;
  readonly isCallerGone: () => boolean;
  readonly avoid: Set<number>;
  attempts: number;
  claimed: boolean;
  /** The failure to report to the caller if an earlier attempt may have run; null if none may have. */
  mayHaveRunFailure: Failure | null;
};

type AcquiredSlot = Extract<WorkerSlot, { tag: 'acquired' }>;

const KEYS_FULL_RETRY_AFTER_S = 3_600;
const RETRY_AFTER_S = 1;
const CHECK_INTERVAL_MS = 100;

class TokenDispatcher implements Dispatcher {
  private readonly retryBudget = createRetryBudget();
  private readonly pending: PendingCalls;
  private readonly queue: WorkerSlotQueue;
  private readonly callWorker: (call: WorkerCall) => Promise<WorkerCallEnd>;
  private readonly requestCounts = new Map<string, number>();
  private rejectedCount = 0;
  private attemptCount = 0;
  private retryCount = 0;
  private truncatedCount = 0;
  private readonly checkTimer: Timer;

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
      releaseSlot: (row) => this.queue.release(row),
      onTruncated: () => this.onTruncated(),
    });
    this.checkTimer = every(this.deps.clock, CHECK_INTERVAL_MS, () => this.checkPending());
  }

  private checkPending(): void {
    this.pending.abortLost();
    this.queue.wake();
  }

  private onTruncated(): void {
    this.truncatedCount += 1;
  }

  private failedSubmission(failure: Failure, retryAfterS = RETRY_AFTER_S): Submission {
    if (failure.tag === 'shed') this.rejectedCount += 1;
    return { tag: 'failed', failure, retryAfterS };
  }

  async submit(
    token: AdmissionToken,
    body: SubmittedRequest,
    key: RunKey | null,
    isCallerGone: () => boolean,
  ): Promise<Submission> {
    const resolved = this.deps.placement.resolved(token.model);
    if (!resolved) return this.failedSubmission({ tag: 'unknownModel' });
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
      isCallerGone,
      avoid: new Set(),
      attempts: 0,
      claimed: false,
      mayHaveRunFailure: null,
    });
  }

  /** Sends the request to one worker after another until one serves it or no further attempt is allowed. */
  private async run(job: Job): Promise<Submission> {
    for (;;) {
      const slot = await this.queue.acquire(job);
      if (slot.tag === 'none')
        return this.endWithoutResponse(job, rejection(slot.reason), Math.ceil(slot.retryAfterMs / 1_000));
      if (job.key !== null && !job.claimed) {
        const rejected = await this.claim(job, job.key, slot);
        if (rejected) return rejected;
        if (!this.isStillUsable(slot.row)) {
          this.queue.release(slot.row);
          continue;
        }
      }
      if (job.isCallerGone() || this.deps.clock.mono() >= job.deadlineAt) {
        this.queue.release(slot.row);
        return this.endWithoutResponse(job, rejection('lineWaitOver'), RETRY_AFTER_S);
      }
      const end = await this.send(job, slot);
      if (end.tag !== 'failed') return this.onServed(job, slot, end);
      job.avoid.add(slot.candidate.index);
      if (!this.mayRetry(job, end)) return this.endAfterFailedAttempt(job, end);
    }
  }

  /** Claims the key of a run-once request. Returns null on success, else the failed submission. */
  private async claim(job: Job, key: RunKey, slot: AcquiredSlot): Promise<Submission | null> {
    const outcome = await this.deps.claims.claim(key, job.token.id);
    if (outcome.tag !== 'claimed') {
      this.queue.release(slot.row);
      return this.rejectedClaim(outcome);
    }
    job.claimed = true;
    return null;
  }

  private rejectedClaim(outcome: Exclude<ClaimOutcome, { tag: 'claimed' }>): Submission {
    switch (outcome.tag) {
      case 'noMajority':
        return this.failedSubmission(rejection('noMajority'));
      case 'full':
        return this.failedSubmission(rejection('keysFull'), KEYS_FULL_RETRY_AFTER_S);
      case 'tooOld':
        return this.failedSubmission({ tag: 'keyTooOld' });
      case 'taken':
        return this.failedSubmission({ tag: outcome.answered ? 'alreadyAnswered' : 'outcomeUnknown' });
    }
  }

  private isStillUsable(row: WorkerRow): boolean {
    return this.deps.ready() && this.deps.table.isCurrent(row) && row.present && !row.leaving && row.missedProbes === 0;
  }

  private send(job: Job, { candidate, row }: AcquiredSlot): Promise<WorkerCallEnd> {
    if (job.attempts > 0) this.retryCount += 1;
    else this.retryBudget.recordFirstAttempt(job.values.retryShare);
    job.attempts += 1;
    this.attemptCount += 1;
    const run: Run = {
      requestId: job.token.requestId,
      attemptId: newId(this.deps.rng, 'd'),
      model: job.token.model,
      parts: job.body.parts,
      outputTokens: job.body.outputTokens,
      stream: job.body.stream,
    };

    const onDigestVerified = (): void => {
      this.recordAnswered(job);
    };
    return this.callWorker({
      candidate,
      row,
      run,
      deadlineAt: job.deadlineAt,
      pieceWaitMs: job.values.pieceWaitMs,
      isCallerGone: job.isCallerGone,
      onDigestVerified,
    });
  }

  private onServed(job: Job, { candidate }: AcquiredSlot, end: Exclude<WorkerCallEnd, { tag: 'failed' }>): Submission {
    this.deps.table.recordServed(candidate.index);
    this.deps.table.prefixes.recordRun(this.deps.table.modelIndex(job.token.model), job.parts, candidate.index);
    if (end.tag === 'whole') this.recordAnswered(job);
    return end;
  }

  private mayRetry(job: Job, end: Extract<WorkerCallEnd, { tag: 'failed' }>): boolean {
    const mayHaveRunBefore = job.mayHaveRunFailure !== null;
    if (mayHaveRun(end.outcome)) job.mayHaveRunFailure = job.key === null ? end.failure : { tag: 'outcomeUnknown' };
    const decision = decideAfterAttempt(end.outcome, {
      repeatability: job.key === null ? 'repeatable' : 'once',
      isResponseStarted: false,
      canResume: false,
      mayHaveRun: mayHaveRunBefore,
      remainingMs: job.deadlineAt - this.deps.clock.mono(),
      acquireAttempt: () => this.retryBudget.spend(),
    });
    return decision.tag === 'repeat';
  }

  private endAfterFailedAttempt(job: Job, end: Extract<WorkerCallEnd, { tag: 'failed' }>): Submission {
    const retryAfterS = end.outcome.tag === 'notExecuted' ? end.outcome.retryAfterS : RETRY_AFTER_S;
    return this.endWithoutResponse(job, rejection('workersShed'), retryAfterS);
  }

  /**
   * Ends a request that was not served. If no attempt may have run, releases its claim and returns `failure`, which
   * promises that the request did not run.
   */
  private endWithoutResponse(job: Job, failure: Failure, retryAfterS: number): Submission {
    if (job.mayHaveRunFailure) return this.failedSubmission(job.mayHaveRunFailure);
    if (job.claimed && job.key !== null) this.deps.claims.reportEnd(job.key, job.token.id, 'released');
    return this.failedSubmission(failure, retryAfterS);
  }

  private recordAnswered(job: Job): void {
    if (job.key !== null) this.deps.claims.reportEnd(job.key, job.token.id, 'answered');
  }

  countRequest(model: string): void {
    this.requestCounts.set(model, (this.requestCounts.get(model) ?? 0) + 1);
  }

  countRejected(): void {
    this.rejectedCount += 1;
  }

  tally(): DispatcherTally {
    return {
      requests: Object.fromEntries(this.requestCounts),
      shed: this.rejectedCount,
      attempted: this.attemptCount,
      retried: this.retryCount,
      cut: this.truncatedCount,
      waiting: this.queue.waiting(),
      inFlight: this.pending.size(),
    };
  }

  wake(): void {
    this.queue.wake();
  }

  stopAdmitting(): void {
    this.queue.close();
  }

  stop(): void {
    this.checkTimer.cancel();
  }
}

/** Creates a dispatcher without any requests. */
export function createDispatcher(deps: DispatcherDeps): Dispatcher {
  return new TokenDispatcher(deps);
}
