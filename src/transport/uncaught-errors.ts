/** Handles errors that no caller catches: they end a process that is still starting, but not one that serves. */
import { describeError } from '../base/describe-error.js';
import type { Log } from './log.js';

/**
 * Handles uncaught errors from now on. An error before the returned function is called ends the process with
 * `startErrorExitCode`, because a process that is half started would neither serve nor be restarted. Later errors are
 * logged only: the request or task that failed ends by its own deadline.
 */
export function handleUncaughtErrors(log: Log, startErrorExitCode: number): () => void {
  let hasStarted = false;
  function onUncaught(error: unknown): void {
    if (hasStarted) {
      log.error('uncaught exception', { error: describeError(error) });
      return;
    }
    log.error('uncaught exception during the start', { error: describeError(error) });
    process.exit(startErrorExitCode);
  }
  process.on('uncaughtException', onUncaught);
  process.on('unhandledRejection', onUncaught);
  return () => {
    hasStarted = true;
  };
}
