import { describe, expect, test } from '@jest/globals';
import { decideAfterAttempt, MIN_RETRY_TIME_MS, mayHaveRun, wasSent } from './attempt-outcome.js';
import type { AttemptOutcome, Repeatability, RetryContext } from './attempt-outcome.js';

const REPEATABILITIES: readonly Repeatability[] = ['once', 'repeatable', 'resumable'];

function retryContext(overrides: Partial<RetryContext> = {}): RetryContext {
  return {
    repeatability: 'once',
    isResponseStarted: false,
    canResume: true,
    mayHaveRun: false,
    remainingMs: 5_000,
    acquireAttempt: () => true,
    ...overrides,
  };
}

/**
 * An outcome and the decisions after it, each as a short text: for a request that may run once, a repeatable one, a
 * resumable stream before and after its first event, and for any of them without time left.
 */
type Row = readonly [
  AttemptOutcome,
  readonly [once: string, repeatable: string, resumable: string, afterFirstEvent: string],
  string,
];

const OUTCOMES: readonly Row[] = [
  [{ tag: 'notConnected' }, ['repeat', 'repeat', 'repeat', 'resume'], 'refuse'],
  [{ tag: 'withheld' }, ['repeat', 'repeat', 'repeat', 'resume'], 'refuse'],
  [{ tag: 'resetUnwritten' }, ['repeat', 'repeat', 'repeat', 'resume'], 'refuse'],
  [{ tag: 'resetPartlyWritten' }, ['fail 502', 'repeat', 'repeat', 'resume'], 'fail 502'],
  [{ tag: 'resetWritten' }, ['fail 502', 'repeat', 'repeat', 'resume'], 'fail 502'],
  [{ tag: 'silent' }, ['wait', 'repeat', 'repeat', 'resume'], 'wait'],
  [{ tag: 'answerCut' }, ['fail 502', 'repeat', 'repeat', 'resume'], 'fail 502'],
  [{ tag: 'wrongWorker', retryAfterS: 0.2 }, ['repeat', 'repeat', 'repeat', 'resume'], 'refuse'],
  [{ tag: 'notExecuted', retryAfterS: 0.2 }, ['repeat', 'repeat', 'repeat', 'resume'], 'refuse'],
  [{ tag: 'workerFailed' }, ['passOn', 'repeat', 'repeat', 'resume'], 'passOn'],
  [{ tag: 'garbled' }, ['fail 502', 'repeat', 'repeat', 'resume'], 'fail 502'],
  [{ tag: 'overloaded' }, ['fail 502', 'fail 502', 'fail 502', 'cut'], 'fail 502'],
  [{ tag: 'deadline' }, ['fail 504', 'fail 504', 'fail 504', 'cut'], 'fail 504'],
  [{ tag: 'callerGone' }, ['done', 'done', 'done', 'done'], 'done'],
  [{ tag: 'answered' }, ['passOn', 'passOn', 'passOn', 'passOn'], 'passOn'],
];

function decisionAfter(outcome: AttemptOutcome, overrides: Partial<RetryContext>): string {
  const decision = decideAfterAttempt(outcome, retryContext(overrides));
  if (decision.tag === 'repeat') return decision.resume ? 'resume' : 'repeat';
  return decision.tag === 'fail' ? `fail ${decision.status}` : decision.tag;
}

describe.each(OUTCOMES.map((row) => [row[0].tag, ...row] as const))(
  'after %s',
  (_tag, outcome, [once, repeatable, resumable, afterFirstEvent], withoutTimeLeft) => {
    test('with time and attempts left', () => {
      expect(decisionAfter(outcome, { repeatability: 'once' })).toBe(once);
      expect(decisionAfter(outcome, { repeatability: 'repeatable' })).toBe(repeatable);
      expect(decisionAfter(outcome, { repeatability: 'resumable' })).toBe(resumable);
      expect(decisionAfter(outcome, { repeatability: 'resumable', isResponseStarted: true })).toBe(afterFirstEvent);
    });

    test('without time left', () => {
      for (const repeatability of REPEATABILITIES)
        expect(decisionAfter(outcome, { repeatability, remainingMs: 0 })).toBe(withoutTimeLeft);
    });

    test('without attempts left only a request that was never sent is retried', () => {
      for (const repeatability of REPEATABILITIES)
        expect(decisionAfter(outcome, { repeatability, acquireAttempt: () => false })).toBe(
          wasSent(outcome) ? withoutTimeLeft : 'repeat',
        );
    });

    test('a response that was started and cannot be resumed is aborted, never ended as complete', () => {
      const notTruncated = ['done', 'wait', 'passOn'];
      for (const overrides of [
        { repeatability: 'once' },
        { repeatability: 'repeatable' },
        { repeatability: 'resumable', canResume: false },
        { repeatability: 'resumable', remainingMs: 0 },
      ] as const) {
        const decision = decisionAfter(outcome, { ...overrides, isResponseStarted: true });
        expect(outcome.tag === 'workerFailed' || !notTruncated.includes(withoutTimeLeft) ? decision : 'cut').toBe(
          'cut',
        );
      }
    });

    test('no attempt is taken from the budget for a request that is not retried', () => {
      for (const repeatability of REPEATABILITIES)
        for (const leftMs of [0, MIN_RETRY_TIME_MS, 5_000]) {
          let acquiredCount = 0;
          const acquireAttempt = (): boolean => {
            acquiredCount += 1;
            return true;
          };
          const isRetried =
            decideAfterAttempt(outcome, retryContext({ repeatability, remainingMs: leftMs, acquireAttempt })).tag ===
            'repeat';
          expect(acquiredCount).toBe(isRetried && wasSent(outcome) ? 1 : 0);
        }
    });

    test('a request is rejected as not run only if it cannot have run', () => {
      for (const repeatability of REPEATABILITIES)
        for (const leftMs of [0, 5_000])
          for (const hasAttemptsLeft of [true, false])
            for (const mayHaveRunBefore of [true, false]) {
              const decision = decisionAfter(outcome, {
                repeatability,
                remainingMs: leftMs,
                acquireAttempt: () => hasAttemptsLeft,
                mayHaveRun: mayHaveRunBefore,
              });
              if (decision === 'refuse') expect([mayHaveRun(outcome), mayHaveRunBefore]).toEqual([false, false]);
            }
    });
  },
);

test('a request that may run at most once is never retried after it may have run', () => {
  for (const [outcome] of OUTCOMES)
    if (mayHaveRun(outcome))
      expect(['repeat', 'resume']).not.toContain(decisionAfter(outcome, { repeatability: 'once' }));
});
