/** The relay's last word on a request: what a decision, or the lack of a worker, means for its caller. */
import type { AttemptOutcome, Decision } from '../../state/attempt-outcome.js';
import type { EdgeTuning } from '../../state/edge-tuning.js';
import type { OpenRequest } from '../../transport/open-http.js';
import type { Rng } from '../../transport/rng.js';
import type { AttemptEnd } from './attempt.js';
import type { CallerAnswers } from './caller-answers.js';
import type { RelayedRequest } from './relayed-request.js';

export type LastAnswers = {
  /** Carries out what was decided after the last attempt. */
  readonly decided: (request: RelayedRequest, end: AttemptEnd, decision: Decision) => void;
  /** No worker was found in time; `noneInReach` if there is none at all, busy or not. */
  readonly unplaced: (request: RelayedRequest, noneInReach: boolean, leftMs: number) => void;
  /** The routes aren't known yet. */
  readonly notReady: (incoming: OpenRequest) => void;
  /** This process ends before the request would. */
  readonly leaving: (incoming: OpenRequest) => void;
};

export type LastAnswersDeps = {
  readonly answers: CallerAnswers;
  readonly tuning: EdgeTuning;
  readonly rng: Rng;
  readonly onRefused: () => void;
  readonly onCut: () => void;
};

/** Shares of `tuning.backMs` after which a refused caller is asked to come back. */
const BACK_SHARE = { notReady: 0.5, refused: 0.75, full: 1 } as const;
/** A caller that is sent on to another proxy needn't wait. */
const ELSEWHERE_S = 0.05;

export function createLastAnswers(deps: LastAnswersDeps): LastAnswers {
  const { answers, tuning, rng } = deps;

  function decided(request: RelayedRequest, end: AttemptEnd, decision: Decision): void {
    switch (decision.tag) {
      case 'done':
      case 'repeat':
        return;
      case 'passOn':
        if (end.answer) answers.passOn(request, end.answer);
        else request.incoming.answerer.end();
        return;
      case 'refuse':
        refuse(
          request.incoming,
          refusalTag(end.outcome),
          Math.max(decision.retryAfterS ?? 0, backInS(BACK_SHARE.refused)),
        );
        return;
      case 'fail':
        answers.refuse(request.incoming, decision.status, decision.status === 504 ? 'late' : 'unknown', null);
        return;
      case 'cut':
      case 'wait':
        failed(request);
    }
  }

  function unplaced(request: RelayedRequest, noneInReach: boolean, leftMs: number): void {
    if (request.answerBegun || request.mayHaveRun) failed(request);
    else if (noneInReach)
      refuse(request.incoming, 'noneInReach', Math.max(backInS(BACK_SHARE.full), (tuning.awayShare * leftMs) / 1_000));
    else refuse(request.incoming, 'full', backInS(BACK_SHARE.full));
  }

  function notReady(incoming: OpenRequest): void {
    refuse(incoming, 'notReady', backInS(BACK_SHARE.notReady));
  }
  function leaving(incoming: OpenRequest): void {
    refuse(incoming, 'leaving', ELSEWHERE_S);
  }

  function refuse(incoming: OpenRequest, tag: string, retryAfterS: number): void {
    deps.onRefused();
    answers.refuse(incoming, 503, tag, retryAfterS);
  }
  function failed(request: RelayedRequest): void {
    if (request.answerBegun) {
      deps.onCut();
      request.incoming.answerer.cut();
    } else answers.refuse(request.incoming, 502, 'unknown', null);
  }
  function backInS(share: number): number {
    return (tuning.backMs * share * (0.75 + 0.5 * rng.next())) / 1_000;
  }
  return { decided, unplaced, notReady, leaving };
}

function refusalTag(outcome: AttemptOutcome): string {
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
