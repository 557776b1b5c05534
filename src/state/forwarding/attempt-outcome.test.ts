import { describe, expect, test } from '@jest/globals';
import { decide, LEAST_FOR_REPEAT_MS, mayHaveRun, wasSent } from './attempt-outcome.js';
import type { AttemptOutcome, Repeatability, RequestSituation } from './attempt-outcome.js';

const KINDS: readonly Repeatability[] = ['once', 'repeatable', 'resumable'];

function situation(over: Partial<RequestSituation> = {}): RequestSituation {
  return {
    repeatability: 'once',
    answerBegun: false,
    canResume: true,
    mayHaveRun: false,
    leftMs: 5_000,
    acquireAttempt: () => true,
    ...over,
  };
}

/** What follows, as one word: for a run-once request, a repeatable one, a resumable stream before and after its first event. */
type Row = readonly [
  AttemptOutcome,
  readonly [once: string, repeatable: string, resumable: string, begun: string],
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
  [{ tag: 'deadline' }, ['fail 504', 'fail 504', 'fail 504', 'cut'], 'fail 504'],
  [{ tag: 'callerGone' }, ['done', 'done', 'done', 'done'], 'done'],
  [{ tag: 'answered' }, ['passOn', 'passOn', 'passOn', 'passOn'], 'passOn'],
];

function status(outcome: AttemptOutcome, over: Partial<RequestSituation>): string {
  const decision = decide(outcome, situation(over));
  if (decision.tag === 'repeat') return decision.resume ? 'resume' : 'repeat';
  return decision.tag === 'fail' ? `fail ${decision.status}` : decision.tag;
}

describe.each(OUTCOMES.map((row) => [row[0].tag, ...row] as const))(
  'after %s',
  (_tag, outcome, [once, repeatable, resumable, begun], last) => {
    test('with time and attempts left', () => {
      expect(status(outcome, { repeatability: 'once' })).toBe(once);
      expect(status(outcome, { repeatability: 'repeatable' })).toBe(repeatable);
      expect(status(outcome, { repeatability: 'resumable' })).toBe(resumable);
      expect(status(outcome, { repeatability: 'resumable', answerBegun: true })).toBe(begun);
    });

    test('without time left', () => {
      for (const repeatability of KINDS) expect(status(outcome, { repeatability, leftMs: 0 })).toBe(last);
    });

    test('without attempts left only what was never sent is sent again', () => {
      for (const repeatability of KINDS)
        expect(status(outcome, { repeatability, acquireAttempt: () => false })).toBe(
          wasSent(outcome) ? last : 'repeat',
        );
    });

    test('an answer that was begun and cannot go on is broken off, never ended', () => {
      const stays = ['done', 'wait', 'passOn'];
      for (const over of [
        { repeatability: 'once' },
        { repeatability: 'repeatable' },
        { repeatability: 'resumable', canResume: false },
        { repeatability: 'resumable', leftMs: 0 },
      ] as const) {
        const response = status(outcome, { ...over, answerBegun: true });
        expect(outcome.tag === 'workerFailed' || !stays.includes(last) ? response : 'cut').toBe('cut');
      }
    });

    test('no attempt is taken from the budget for a request that is not sent again', () => {
      for (const repeatability of KINDS)
        for (const leftMs of [0, LEAST_FOR_REPEAT_MS, 5_000]) {
          let taken = 0;
          const acquireAttempt = (): boolean => {
            taken += 1;
            return true;
          };
          const repeats = decide(outcome, situation({ repeatability, leftMs, acquireAttempt })).tag === 'repeat';
          expect(taken).toBe(repeats && wasSent(outcome) ? 1 : 0);
        }
    });

    test('a refusal is given only where nothing may have run', () => {
      for (const repeatability of KINDS)
        for (const leftMs of [0, 5_000])
          for (const left of [true, false])
            for (const ranBefore of [true, false]) {
              const response = status(outcome, {
                repeatability,
                leftMs,
                acquireAttempt: () => left,
                mayHaveRun: ranBefore,
              });
              if (response === 'refuse') expect([mayHaveRun(outcome), ranBefore]).toEqual([false, false]);
            }
    });
  },
);

test('a request that may run once is never sent again after it may have run', () => {
  for (const [outcome] of OUTCOMES)
    if (mayHaveRun(outcome)) expect(['repeat', 'resume']).not.toContain(status(outcome, { repeatability: 'once' }));
});
