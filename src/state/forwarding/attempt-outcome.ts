/**
 * Outcomes of attempts to send a request to a worker, and the decision whether to retry. Both HTTP servers of a proxy
 * map the end of an attempt to one typed outcome and use the same decision function, so that the retry rules are in
 * one place. docs/repeats.md has the same rules as a table; the test covers each of its rows.
 */

/** How often a request may run: at most once, any number of times, or resumed after its last event. */
export type Repeatability = 'once' | 'repeatable' | 'resumable';

/** How one attempt at a worker ended. */
export type AttemptOutcome =
  /** No connection was established. */
  | { readonly tag: 'notConnected' }
  /** The connection was established, but the request was withheld: nothing was written. */
  | { readonly tag: 'withheld' }
  /** The connection was reset before any byte of the request was written. */
  | { readonly tag: 'resetUnwritten' }
  /** The connection was reset with the request partly written; a worker may run it from its headers alone. */
  | { readonly tag: 'resetPartlyWritten' }
  /** The connection, new or reused, was reset after the complete request was written and before a response. */
  | { readonly tag: 'resetWritten' }
  /** The request was written, and the worker has been unreachable since. The attempt is still pending. */
  | { readonly tag: 'silent' }
  /** The response was truncated: its head arrived, its end did not. */
  | { readonly tag: 'answerCut' }
  /** A different worker answered at this address (421); it did not run the request. */
  | { readonly tag: 'wrongWorker'; readonly retryAfterS: number }
  /** The worker stated, with the id of this request, that it did not run the request and never will. */
  | { readonly tag: 'notExecuted'; readonly retryAfterS: number }
  /** The worker ran the request and sent a complete response that reports a failure. */
  | { readonly tag: 'workerFailed' }
  /** The bytes received are not a response, belong to another request, or fail their checks. */
  | { readonly tag: 'garbled' }
  /** The response is given up as all callers together hold too much; that is no fault of the worker. */
  | { readonly tag: 'overloaded' }
  /** The deadline passed after the request was written. */
  | { readonly tag: 'deadline' }
  /** The caller closed its connection. */
  | { readonly tag: 'callerGone' }
  /** A complete, successful response. */
  | { readonly tag: 'answered' };

/** State of the request at the end of an attempt. */
export type RetryContext = {
  readonly repeatability: Repeatability;
  /** The response head, and possibly events, have been passed to the caller. */
  readonly isResponseStarted: boolean;
  /** All events passed so far are numbered, so that another worker can resume after the last one. */
  readonly canResume: boolean;
  /** The request may have run in an earlier attempt. */
  readonly mayHaveRun: boolean;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Takes a retry from the route's maximum and the shared budget; called only if a retry is otherwise allowed. */
  readonly acquireAttempt: () => boolean;
};

/** What to do after an attempt. */
export type RetryDecision =
  /** Retry on another worker; with `resume` it continues the response that was started. */
  | { readonly tag: 'repeat'; readonly resume: boolean }
  /** Keep waiting for the pending attempt. */
  | { readonly tag: 'wait' }
  /** Respond with 503, which guarantees that the request has not run and never will. */
  | { readonly tag: 'refuse'; readonly retryAfterS: number | null }
  /** Respond with 502 or 504, which says nothing about whether the request ran. */
  | { readonly tag: 'fail'; readonly status: 502 | 504 }
  /** Forward the worker's response. */
  | { readonly tag: 'passOn' }
  /** Abort the response that was started, so that it doesn't look complete. */
  | { readonly tag: 'cut' }
  /** Nothing more to send. */
  | { readonly tag: 'done' };

/** With less time left no retry is made: a worker needs longer than this for any response. */
export const MIN_RETRY_TIME_MS = 30;

type ExecutionState = 'none' | 'notExecuted' | 'mayHaveRun';

/** Returns what happened at the worker: the request was not sent, was sent but certainly not run, or may have run. */
function executionStateOf(outcome: AttemptOutcome): ExecutionState {
  switch (outcome.tag) {
    case 'notConnected':
    case 'withheld':
    case 'resetUnwritten':
      return 'none';
    case 'wrongWorker':
    case 'notExecuted':
      return 'notExecuted';
    default:
      return 'mayHaveRun';
  }
}

/** Returns true if the attempt reached the worker, and so counts towards the route's maximum. */
export function wasSent(outcome: AttemptOutcome): boolean {
  return executionStateOf(outcome) !== 'none';
}

/** Returns true if the request may have run in this attempt. */
export function mayHaveRun(outcome: AttemptOutcome): boolean {
  return executionStateOf(outcome) === 'mayHaveRun';
}

/** Decides what to do after an attempt. */
export function decideAfterAttempt(outcome: AttemptOutcome, context: RetryContext): RetryDecision {
  switch (outcome.tag) {
    case 'callerGone':
      return { tag: 'done' };
    case 'answered':
      return { tag: 'passOn' };
    case 'deadline':
      return context.isResponseStarted ? { tag: 'cut' } : { tag: 'fail', status: 504 };
    case 'overloaded':
      return finalDecision(outcome, context);
    case 'silent':
      return mayRetry(outcome, context) ? { tag: 'repeat', resume: context.isResponseStarted } : { tag: 'wait' };
    default:
      return mayRetry(outcome, context)
        ? { tag: 'repeat', resume: context.isResponseStarted }
        : finalDecision(outcome, context);
  }
}

function mayRetry(outcome: AttemptOutcome, context: RetryContext): boolean {
  const { repeatability, isResponseStarted, canResume, remainingMs } = context;
  const executionState = executionStateOf(outcome);
  if (remainingMs <= (outcome.tag === 'withheld' ? 0 : MIN_RETRY_TIME_MS)) return false;
  if (isResponseStarted && !(repeatability === 'resumable' && canResume)) return false;
  if (executionState === 'none') return true;
  if (executionState === 'mayHaveRun' && repeatability === 'once') return false;
  return context.acquireAttempt();
}

function finalDecision(outcome: AttemptOutcome, context: RetryContext): RetryDecision {
  if (context.isResponseStarted) return { tag: 'cut' };
  if (outcome.tag === 'workerFailed') return { tag: 'passOn' };
  if (context.mayHaveRun || mayHaveRun(outcome)) return { tag: 'fail', status: 502 };
  const isRejected = outcome.tag === 'wrongWorker' || outcome.tag === 'notExecuted';
  return { tag: 'refuse', retryAfterS: isRejected ? outcome.retryAfterS : null };
}
