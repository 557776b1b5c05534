/** State that a proxy keeps for each worker that it probes. */
import type { Listed } from './listed.js';

/**
 * One worker. Times are in milliseconds of the monotonic clock. `reported` is the number of requests that the worker
 * reported as running, and `runningElsewhere` those of them that did not come through this proxy. `window` is the
 * adaptive limit of requests in flight. A health report is stale after `healthMaxAgeMs`.
 */
export type WorkerRow = {
  readonly index: number;
  listed: Listed;
  present: boolean;
  leaving: boolean;
  leaveBy: number | null;
  incarnation: string | null;
  answeredAt: number | null;
  missedProbes: number;
  healthMaxAgeMs: number;
  ready: boolean;
  readyAt: number;
  reported: number;
  runningElsewhere: number;
  window: number;
  inFlight: number;
};

const HEALTH_MAX_AGE_MS = 3_500;
/** Upper bound of the window of requests in flight at one worker. */
export const MAX_WINDOW = 1_024;

/** Creates the row of a newly listed worker. */
export function createWorkerRow(index: number, listed: Listed): WorkerRow {
  return {
    index,
    listed,
    present: true,
    leaving: false,
    leaveBy: null,
    incarnation: null,
    answeredAt: null,
    missedProbes: 0,
    healthMaxAgeMs: HEALTH_MAX_AGE_MS,
    ready: false,
    readyAt: 0,
    reported: 0,
    runningElsewhere: 0,
    window: MAX_WINDOW,
    inFlight: 0,
  };
}
