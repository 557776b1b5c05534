/**
 * What may follow when a request was sent to a worker. Both HTTP servers of a proxy judge an attempt by
 * one typed outcome and ask `decide`, so that the rule of what may be sent again stands in one place.
 * docs/repeats.md has the same as a table; the test goes through each of its rows.
 */

/** How often a request may run: once at most, any number of times, or on from its last event. */
export type Repeatability = 'once' | 'repeatable' | 'resumable';

/** How one attempt at a worker ended. */
export type AttemptOutcome =
  /** No connection came up. */
  | { readonly tag: 'notConnected' }
  /** The connection was up, but the request was held back: nothing was written. */
  | { readonly tag: 'withheld' }
  /** The connection ended before any byte of the request was written. */
  | { readonly tag: 'resetUnwritten' }
  /** The connection ended with the request written in part: a worker may run it on its head alone. */
  | { readonly tag: 'resetPartlyWritten' }
  /** The connection, new or taken again, ended after the whole request was written and before an answer. */
  | { readonly tag: 'resetWritten' }
  /** The request was written, and the worker can't be reached since. The attempt still stands. */
  | { readonly tag: 'silent' }
  /** The head of the answer came, its end did not. */
  | { readonly tag: 'answerCut' }
  /** Another worker answers at this address (421); it did not run the request. */
  | { readonly tag: 'wrongWorker'; readonly retryAfterS: number }
  /** The worker's own word, under this request's id, that it did not and will not run it. */
  | { readonly tag: 'notExecuted'; readonly retryAfterS: number }
  /** The worker ran the request and gave a whole answer that is a failure. */
  | { readonly tag: 'workerFailed' }
  /** Bytes that are no answer, another request's answer, or one that fails its checks. */
  | { readonly tag: 'garbled' }
  /** The request was written and its deadline passed. */
  | { readonly tag: 'deadline' }
  /** The caller closed its connection. */
  | { readonly tag: 'callerGone' }
  /** A whole success. */
  | { readonly tag: 'answered' };

/** What is known of the request at the end of an attempt. */
export type RequestSituation = {
  readonly repeatability: Repeatability;
  /** The head, and perhaps events, of an answer have been passed to the caller. */
  readonly answerBegun: boolean;
  /** All events passed so far bear a number, so that another worker can go on after the last. */
  readonly canResume: boolean;
  /** An earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Milliseconds until the deadline. */
  readonly leftMs: number;
  /** Takes a further attempt from the route's count and the shared budget; asked only if one is allowed. */
  readonly acquireAttempt: () => boolean;
};

/** What follows. */
export type Decision =
  /** Send to another worker; `resume` goes on with the answer that was begun. */
  | { readonly tag: 'repeat'; readonly resume: boolean }
  /** Let the attempt go on. */
  | { readonly tag: 'wait' }
  /** Answer 503 with the promise that the request has not run and never will. */
  | { readonly tag: 'refuse'; readonly retryAfterS: number | null }
  /** Answer 502 or 504, which promises nothing. */
  | { readonly tag: 'fail'; readonly status: 502 | 504 }
  /** Pass the worker's own answer on. */
  | { readonly tag: 'passOn' }
  /** Break off the answer that was begun, so that it doesn't look whole. */
  | { readonly tag: 'cut' }
  /** Nothing is owed any more. */
  | { readonly tag: 'done' };

/** With less time left no further attempt is worth its cost: a worker needs longer for any answer. */
export const LEAST_FOR_REPEAT_MS = 30;

type Trace = 'none' | 'notExecuted' | 'mayHaveRun';

/** What an attempt leaves at its worker: nothing sent, sent and certainly not run, or perhaps run. */
function traceOf(outcome: AttemptOutcome): Trace {
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

/** True if the attempt reached the worker, and so counts against the route's attempts. */
export function wasSent(outcome: AttemptOutcome): boolean {
  return traceOf(outcome) !== 'none';
}

/** True if the request may have run in this attempt. */
export function mayHaveRun(outcome: AttemptOutcome): boolean {
  return traceOf(outcome) === 'mayHaveRun';
}

/** Decides what follows an attempt. */
export function decide(outcome: AttemptOutcome, situation: RequestSituation): Decision {
  switch (outcome.tag) {
    case 'callerGone':
      return { tag: 'done' };
    case 'answered':
      return { tag: 'passOn' };
    case 'deadline':
      return situation.answerBegun ? { tag: 'cut' } : { tag: 'fail', status: 504 };
    case 'silent':
      return mayRepeat(outcome, situation) ? { tag: 'repeat', resume: situation.answerBegun } : { tag: 'wait' };
    default:
      return mayRepeat(outcome, situation)
        ? { tag: 'repeat', resume: situation.answerBegun }
        : lastAnswer(outcome, situation);
  }
}

function mayRepeat(outcome: AttemptOutcome, situation: RequestSituation): boolean {
  const { repeatability, answerBegun, canResume, leftMs } = situation;
  const trace = traceOf(outcome);
  if (leftMs <= (outcome.tag === 'withheld' ? 0 : LEAST_FOR_REPEAT_MS)) return false;
  if (answerBegun && !(repeatability === 'resumable' && canResume)) return false;
  if (trace === 'none') return true;
  if (trace === 'mayHaveRun' && repeatability === 'once') return false;
  return situation.acquireAttempt();
}

function lastAnswer(outcome: AttemptOutcome, situation: RequestSituation): Decision {
  if (situation.answerBegun) return { tag: 'cut' };
  if (outcome.tag === 'workerFailed') return { tag: 'passOn' };
  if (situation.mayHaveRun || mayHaveRun(outcome)) return { tag: 'fail', status: 502 };
  const refused = outcome.tag === 'wrongWorker' || outcome.tag === 'notExecuted';
  return { tag: 'refuse', retryAfterS: refused ? outcome.retryAfterS : null };
}
