/**
 * History of operator calls as seen by the callers: when and to which node each call was sent, and when and how it was
 * answered. It contains nothing read from inside a node. The simulated operators record it and `linearizability.ts`
 * checks it.
 */
import { checkLinearizable } from './linearizability.js';
import type { LinearizabilityViolation } from './linearizability.js';
import type { ChangeOutcome, InitialConfiguration, OperatorCall } from './operator-calls.js';

/** A configuration change as sent by an operator. `number` is null if the controllers assign it. */
export type SentChange = {
  readonly node: string;
  readonly request: string;
  readonly base: number;
  readonly number: number | null;
  readonly content: string;
};

/** Records the answer of a change. A change without a recorded answer stays `unclear`. */
export type AnswerRecorder = (answer: ChangeOutcome, number?: number) => void;

/** Records the result of a read. A read without a result is not part of the history. */
export type ReadRecorder = (number: number, content: string) => void;

/**
 * The operator calls of one run. `recordChange` and `recordRead` are called when a call is sent, which is its start;
 * the recorder that they return is called with the answer, which is its end.
 */
export type CallHistory = {
  readonly recordChange: (change: SentChange) => AnswerRecorder;
  readonly recordRead: (node: string) => ReadRecorder;
  /** Number of recorded calls: all changes that were sent, and the reads that were answered. */
  readonly size: () => number;
  /** Number of changes with the answer `confirmed`; a retry counts as a change of its own. */
  readonly confirmed: () => number;
  /** Returns a violation if no order of the calls so far is linearizable, otherwise null. */
  readonly check: () => LinearizabilityViolation | null;
};

/**
 * Creates an empty history. `now` returns the simulated time in milliseconds; `initial` must be the configuration in
 * force before the first recorded call, since the check starts from it.
 */
export function createCallHistory(now: () => number, initial: InitialConfiguration): CallHistory {
  const calls: OperatorCall[] = [];

  function recordChange(change: SentChange): AnswerRecorder {
    const start = now();
    const index = calls.push({ kind: 'change', start, end: Infinity, answer: 'unclear', ...change }) - 1;
    function recordAnswer(answer: ChangeOutcome, number?: number): void {
      calls[index] = { kind: 'change', start, end: now(), answer, ...change, number: number ?? change.number };
    }
    return recordAnswer;
  }
  function recordRead(node: string): ReadRecorder {
    const start = now();
    function recordAnswer(number: number, content: string): void {
      calls.push({ kind: 'read', start, end: now(), node, number, content });
    }
    return recordAnswer;
  }
  function size(): number {
    return calls.length;
  }
  function confirmedCount(): number {
    let count = 0;
    for (const call of calls) if (call.kind === 'change' && call.answer === 'confirmed') count += 1;
    return count;
  }
  function check(): LinearizabilityViolation | null {
    return checkLinearizable(initial, calls);
  }
  return { recordChange, recordRead, size, confirmed: confirmedCount, check };
}
