/** Prevents an error in one callback from ending a process that serves many requests. */
import { describeError } from '../base/describe-error.js';
import type { Log } from './log.js';

/**
 * Logs uncaught errors from now on and lets the process continue: the request or task that failed ends by its own
 * deadline. Call it once the process serves, because an earlier error should end the process.
 */
export function surviveUncaughtErrors(log: Log): void {
  function onUncaught(error: unknown): void {
    log.error('uncaught exception', { error: describeError(error) });
  }
  process.on('uncaughtException', onUncaught);
  process.on('unhandledRejection', onUncaught);
}
