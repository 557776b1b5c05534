/** Operator calls as their callers saw them: what was sent, to which node and when, and the response. */

/** Response to a change; `unclear` stands for an error, a timeout, or a response that the outcome is unknown. */
export type ChangeOutcome = 'confirmed' | 'stale' | 'invalid' | 'unclear';

type CallInterval = { readonly start: number; readonly end: number; readonly node: string };

/** A call that changes the configuration. */
export type ChangeCall = CallInterval & {
  readonly kind: 'change';
  /** Request id; calls with the same id are retries of one change. */
  readonly request: string;
  readonly base: number;
  /** Version number that the change produced; null until a response contains it. */
  readonly number: number | null;
  readonly content: string;
  readonly answer: ChangeOutcome;
};

/** A call that reads the configuration. */
export type ReadCall = CallInterval & { readonly kind: 'read'; readonly number: number; readonly content: string };

/** A change or a read. */
export type OperatorCall = ChangeCall | ReadCall;

/** The configuration before the first call. */
export type InitialConfiguration = { readonly number: number; readonly content: string };

/** Describes a call for a failure message. */
export function describeCall(call: OperatorCall): string {
  const when = `at ${call.node} from ${call.start.toFixed(0)} to ${call.end.toFixed(0)}`;
  if (call.kind === 'read') return `${call.number} (${call.content}) was read ${when}`;
  return `change ${call.request} (${call.content}) from ${call.base} to ${call.number ?? '?'} was answered ${call.answer} ${when}`;
}
