/** Shared by commands that send requests to controllers: flags, client, printed responses and exit codes. */
import { createCoreClient } from '../operator/core.js';
import type { CoreClient, CoreResponse } from '../operator/core.js';
import { createGotHttpClient } from '../transport/http-client.js';
import { EXIT } from './exit-codes.js';
import type { ExitCode } from './exit-codes.js';
import { printError, setExitCode, printLine } from './flags.js';

/** Flags of all commands that send requests to controllers. */
export const CORE_ARGS = {
  core: {
    type: 'string',
    description: 'Operator addresses of the controllers, separated by commas',
    default: '127.0.0.1:7200',
  },
  json: { type: 'boolean', description: 'Print the response as JSON' },
} as const;

/** Returns the controller addresses of the flags. */
export function controllerAddresses(args: Readonly<Record<string, unknown>>): string[] {
  const text = typeof args['core'] === 'string' ? args['core'] : '';
  return text.split(',').filter(Boolean);
}

/** Returns a client of the controllers that the flags name. */
export function coreClientOf(args: Readonly<Record<string, unknown>>): CoreClient {
  return createCoreClient(controllerAddresses(args), createGotHttpClient(1_000));
}

/** Returns the exit code for a response; null if no controller responded. */
export function exitCodeOf(response: CoreResponse | null): ExitCode {
  if (!response || response.status === 503) return EXIT.unreachable;
  if (response.status === 202) return EXIT.notConfirmed;
  return response.status >= 400 ? EXIT.refused : EXIT.ok;
}

/** Prints a response, as JSON or by `format`, and sets the exit code. */
export function printResponse(response: CoreResponse | null, asJson: boolean, format: (body: unknown) => string): void {
  setExitCode(exitCodeOf(response));
  if (!response) {
    printError('No controller responded.');
    return;
  }
  if (asJson) {
    printLine(JSON.stringify(response.body, null, 2));
    return;
  }
  if (response.status >= 400) printError(`Rejected (${response.status}): ${JSON.stringify(response.body)}`);
  else printLine(format(response.body));
}
