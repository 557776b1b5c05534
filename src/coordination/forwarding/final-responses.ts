/** Sends the final response to a request, by the decision after its last attempt or because no worker was found. */
import type { AttemptOutcome, RetryDecision } from '../../state/forwarding/attempt-outcome.js';
import type { EdgeTuning } from '../../state/forwarding/edge-tuning.js';
import type { OpaqueRequest } from '../../transport/opaque-http.js';
import type { Rng } from '../../transport/rng.js';
import type { AttemptEnd } from './attempt.js';
import type { CallerResponses } from './caller-responses.js';
import type { RelayedRequest } from './relayed-request.js';

/** Ends requests with their final response. */
export interface FinalResponses {
  /** Carries out the decision after the last attempt. */
  carryOut(request: RelayedRequest, end: AttemptEnd, decision: RetryDecision): void;
  /** Called if no worker was found in time; `noneInReach` is true if there is no worker, busy or idle. */
  rejectWithoutWorker(request: RelayedRequest, noneInReach: boolean, remainingMs: number): void;
  /** Rejects a request because the routes aren't known yet. */
  rejectNotReady(incoming: OpaqueRequest): void;
  /** Rejects a request whose body can't be held, as all callers together hold too much. */
  rejectOverloaded(incoming: OpaqueRequest): void;
  /** Rejects a request that would not end before this process does. */
  rejectStopping(incoming: OpaqueRequest): void;
  /** Ends an open request because this process ends. */
  abort(request: RelayedRequest): void;
  /** Ends a request after an internal error. A response that was started is aborted. */
  failInternally(incoming: OpaqueRequest): void;
}

/** Dependencies; `onRejected` and `onTruncated` count rejected requests and truncated responses. */
export type FinalResponsesDeps = {
  readonly callerResponses: CallerResponses;
  readonly tuning: EdgeTuning;
  readonly rng: Rng;
  readonly onRejected: () => void;
  readonly onTruncated: () => void;
};

/** Fractions of `tuning.backMs` after which a rejected caller is asked to retry. */
const RETRY_AFTER_FRACTION = { notReady: 0.5, rejected: 0.75, full: 1 } as const;
/** A caller that will retry at another proxy needn't wait. */
const OTHER_PROXY_RETRY_AFTER_S = 0.05;

class RelayFinalResponses implements FinalResponses {
  constructor(private readonly deps: FinalResponsesDeps) {}

  carryOut(request: RelayedRequest, end: AttemptEnd, decision: RetryDecision): void {
    switch (decision.tag) {
      case 'done':
      case 'repeat':
        return;
      case 'passOn':
        if (end.response) this.deps.callerResponses.forward(request, end.response);
        else request.incoming.responseWriter.end();
        return;
      case 'refuse':
        this.reject(
          request.incoming,
          rejectionTag(end.outcome),
          Math.max(decision.retryAfterS ?? 0, this.randomRetryAfterS(RETRY_AFTER_FRACTION.rejected)),
        );
        return;
      case 'fail':
        this.deps.callerResponses.sendError(
          request.incoming,
          decision.status,
          decision.status === 504 ? 'late' : 'unknown',
          null,
        );
        return;
      case 'cut':
      case 'wait':
        this.truncateOrFail(request);
    }
  }

  rejectWithoutWorker(request: RelayedRequest, noneInReach: boolean, remainingMs: number): void {
    if (request.isResponseStarted || request.mayHaveRun) this.truncateOrFail(request);
    else if (noneInReach)
      this.reject(
        request.incoming,
        'noneInReach',
        Math.max(
          this.randomRetryAfterS(RETRY_AFTER_FRACTION.full),
          (this.deps.tuning.awayFraction * remainingMs) / 1_000,
        ),
      );
    else this.reject(request.incoming, 'full', this.randomRetryAfterS(RETRY_AFTER_FRACTION.full));
  }

  rejectNotReady(incoming: OpaqueRequest): void {
    this.reject(incoming, 'notReady', this.randomRetryAfterS(RETRY_AFTER_FRACTION.notReady));
  }

  rejectOverloaded(incoming: OpaqueRequest): void {
    this.reject(incoming, 'overloaded', this.randomRetryAfterS(RETRY_AFTER_FRACTION.full));
  }

  rejectStopping(incoming: OpaqueRequest): void {
    this.reject(incoming, 'leaving', OTHER_PROXY_RETRY_AFTER_S);
  }

  abort(request: RelayedRequest): void {
    if (request.isResponseStarted || request.mayHaveRun || request.attempts > 0) this.truncateOrFail(request);
    else this.rejectStopping(request.incoming);
  }

  failInternally(incoming: OpaqueRequest): void {
    if (incoming.responseWriter.begun()) incoming.responseWriter.abort();
    else this.deps.callerResponses.sendError(incoming, 500, 'internal', null);
  }

  private reject(incoming: OpaqueRequest, tag: string, retryAfterS: number): void {
    this.deps.onRejected();
    this.deps.callerResponses.sendError(incoming, 503, tag, retryAfterS);
  }

  private truncateOrFail(request: RelayedRequest): void {
    if (request.isResponseStarted) {
      this.deps.onTruncated();
      request.incoming.responseWriter.abort();
    } else this.deps.callerResponses.sendError(request.incoming, 502, 'unknown', null);
  }

  private randomRetryAfterS(fraction: number): number {
    return (this.deps.tuning.backMs * fraction * (0.75 + 0.5 * this.deps.rng.next())) / 1_000;
  }
}

/** Creates final responses that ask rejected callers to retry after a random delay. */
export function createFinalResponses(deps: FinalResponsesDeps): FinalResponses {
  return new RelayFinalResponses(deps);
}

function rejectionTag(outcome: AttemptOutcome): string {
  switch (outcome.tag) {
    case 'wrongWorker':
    case 'notExecuted':
      return 'workerFull';
    case 'withheld':
      return 'unsent';
    default:
      return 'unreachable';
  }
}
