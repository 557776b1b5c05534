/** Handles stop signals and ends the process in an orderly way. */
import { describeError } from '../base/describe-error.js';
import { withTimeout } from './clock.js';
import type { Clock } from './clock.js';
import type { Log } from './log.js';

/** The signals that stop a process. */
export type StopSignal = 'SIGTERM' | 'SIGINT';

const EXIT_OK = 0;

/**
 * Resolves on the first stop signal after this call; later signals are ignored. Must be called before anything is
 * opened, because until then a signal ends the process at once.
 */
export function awaitStopSignal(): Promise<StopSignal> {
  return new Promise((resolve) => {
    process.on('SIGTERM', () => resolve('SIGTERM'));
    process.on('SIGINT', () => resolve('SIGINT'));
  });
}

/** Returns a function that tells whether the signal has been received. */
export function isStopRequested(signal: Promise<StopSignal>): () => boolean {
  let isRequested = false;
  void signal.then(() => (isRequested = true));
  return () => isRequested;
}

/**
 * Ends the process `withinMs` after the signal if it is still starting then; nothing else would end it. The caller
 * calls the returned function once the process has started.
 */
export function exitIfStartHangs(log: Log, clock: Clock, signal: Promise<StopSignal>, withinMs: number): () => void {
  let isStarting = true;
  function exitIfStarting(): void {
    if (!isStarting) return;
    log.warn('exiting before the start was over', { afterMs: withinMs });
    process.exit(EXIT_OK);
  }
  void signal.then(() => clock.timer(withinMs, exitIfStarting));
  return () => {
    isStarting = false;
  };
}

/** Runs `stop` and then ends the process, after `withinMs` at the latest, also if `stop` fails. */
export async function stopAndExit(log: Log, clock: Clock, withinMs: number, stop: () => Promise<void>): Promise<void> {
  const startedAt = clock.mono();
  async function tryStop(): Promise<'done' | 'failed'> {
    try {
      await stop();
      return 'done';
    } catch (error) {
      log.error('stop failed', { error: describeError(error) });
      return 'failed';
    }
  }
  const outcome = (await withTimeout(clock, withinMs, tryStop())) ?? 'timedOut';
  log.info('exiting', { outcome, afterMs: Math.round(clock.mono() - startedAt) });
  process.exit(EXIT_OK);
}
