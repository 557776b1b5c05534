/** The calls of operators, as their callers saw them: what was sent where and when, and how it was answered. */

/** What a caller was told about a change; `unclear` is a failure, a silence, or the word that it isn't known. */
export type ChangeAnswer = 'confirmed' | 'stale' | 'invalid' | 'unclear';

type Times = { readonly start: number; readonly end: number; readonly node: string };

export type ChangeCall = Times & {
  readonly kind: 'change';
  /** Calls with the same request are sendings of one change. */
  readonly request: string;
  readonly base: number;
  /** The number that it brings; null while no answer has told it. */
  readonly number: number | null;
  readonly content: string;
  readonly answer: ChangeAnswer;
};

export type ReadCall = Times & { readonly kind: 'read'; readonly number: number; readonly content: string };

export type OperatorCall = ChangeCall | ReadCall;

export type InitialConfiguration = { readonly number: number; readonly content: string };

export function textOf(call: OperatorCall): string {
  const when = `at ${call.node} from ${call.start.toFixed(0)} to ${call.end.toFixed(0)}`;
  if (call.kind === 'read') return `${call.number} (${call.content}) was read ${when}`;
  return `change ${call.request} (${call.content}) from ${call.base} to ${call.number ?? '?'} was answered ${call.answer} ${when}`;
}
