/**
 * The calls of operators as their callers saw them: when each was sent, where to, when and how it was answered. Nothing
 * in here looks into a node. The simulated operators write it, `linearizability.ts` judges it.
 */
import { checkLinearizable } from './linearizability.js';
import type { LinearizabilityViolation } from './linearizability.js';
import type { ChangeAnswer, InitialConfiguration, OperatorCall } from './operator-calls.js';

/** A change of the configuration as its operator means it; `number` is null where the core gives it. */
export type SentChange = {
  readonly node: string;
  readonly request: string;
  readonly base: number;
  readonly number: number | null;
  readonly content: string;
};

/** To be called with the answer; a call that is never answered stays unclear. */
export type AnswerNote = (answer: ChangeAnswer, number?: number) => void;

/** To be called with what was read; a read without an answer says nothing. */
export type ReadNote = (number: number, content: string) => void;

export type CallHistory = {
  readonly changeSent: (change: SentChange) => AnswerNote;
  readonly readSent: (node: string) => ReadNote;
  readonly size: () => number;
  readonly confirmed: () => number;
  /** What no order of the calls so far explains, or null. */
  readonly check: () => LinearizabilityViolation | null;
};

export function createCallHistory(now: () => number, initial: InitialConfiguration): CallHistory {
  const calls: OperatorCall[] = [];

  function changeSent(change: SentChange): AnswerNote {
    const start = now();
    const at = calls.push({ kind: 'change', start, end: Infinity, answer: 'unclear', ...change }) - 1;
    function answered(answer: ChangeAnswer, number?: number): void {
      calls[at] = { kind: 'change', start, end: now(), answer, ...change, number: number ?? change.number };
    }
    return answered;
  }
  function readSent(node: string): ReadNote {
    const start = now();
    function answered(number: number, content: string): void {
      calls.push({ kind: 'read', start, end: now(), node, number, content });
    }
    return answered;
  }
  function size(): number {
    return calls.length;
  }
  function confirmed(): number {
    let count = 0;
    for (const call of calls) if (call.kind === 'change' && call.answer === 'confirmed') count += 1;
    return count;
  }
  function check(): LinearizabilityViolation | null {
    return checkLinearizable(initial, calls);
  }
  return { changeSent, readSent, size, confirmed, check };
}
