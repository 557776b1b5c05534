/** How commands reach controllers: addresses, retries and exit codes. */
import { createCore } from '../operator/core.js';
import type { Core, CoreAnswer } from '../operator/core.js';
import { createGotHttpClient } from '../transport/http-client.js';
import { EXIT } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { complain, leave, say } from './flags.js';

/** Flags that name controllers. */
export const CORE_ARGS = {
  core: {
    type: 'string',
    description: 'Addresses of controllers for operators, joined by commas',
    default: '127.0.0.1:7200',
  },
  json: { type: 'boolean', description: 'Print the answer as JSON' },
} as const;

/** Addresses in the flags. */
export function addressesOf(args: Readonly<Record<string, unknown>>): string[] {
  const text = typeof args['core'] === 'string' ? args['core'] : '';
  return text.split(',').filter(Boolean);
}

/** A client of the controllers that the flags name. */
export function coreOf(args: Readonly<Record<string, unknown>>): Core {
  return createCore(addressesOf(args), createGotHttpClient(1_000));
}

/** The exit code for an answer; null stands for none. */
export function exitCodeOf(answer: CoreAnswer | null): ExitCode {
  if (!answer || answer.status === 503) return EXIT.unreachable;
  if (answer.status === 202) return EXIT.notConfirmed;
  return answer.status >= 400 ? EXIT.refused : EXIT.ok;
}

/** Prints an answer and sets the exit code. */
export function report(answer: CoreAnswer | null, json: boolean, readable: (body: unknown) => string): void {
  leave(exitCodeOf(answer));
  if (!answer) {
    complain('No controller answered.');
    return;
  }
  if (json) {
    say(JSON.stringify(answer.body, null, 2));
    return;
  }
  if (answer.status >= 400) complain(`Refused (${answer.status}): ${JSON.stringify(answer.body)}`);
  else say(readable(answer.body));
}
