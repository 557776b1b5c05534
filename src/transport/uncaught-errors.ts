/** Keeps one fault in a callback from ending a process that serves many requests. */
import { describeError } from '../base/describe-error.js';
import type { Log } from './log.js';

/**
 * From now on, errors that nobody caught are logged and the process goes on: whatever they belonged to ends by its own
 * deadline. To be called once the process serves; what fails before that should end it.
 */
export function surviveUncaughtErrors(log: Log): void {
  function onUncaught(error: unknown): void {
    log.error('uncaught exception', { error: describeError(error) });
  }
  process.on('uncaughtException', onUncaught);
  process.on('unhandledRejection', onUncaught);
}
