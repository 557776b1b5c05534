/** What a proxy holds of one worker that it probes. */
import type { Listed } from './listed.js';

/** One worker; times are of the monotonic clock, in milliseconds. */
export type WorkerRow = {
  readonly index: number;
  listed: Listed;
  present: boolean;
  leaving: boolean;
  leaveBy: number | null;
  incarnation: string | null;
  answeredAt: number | null;
  missedProbes: number;
  freshMs: number;
  ready: boolean;
  readyAt: number;
  reported: number;
  others: number;
  window: number;
  inFlight: number;
};

const ANSWER_FRESH_MS = 3_500;
/** Widest window of requests in flight at one worker. */
export const WIDEST = 1_024;

/** The row of a worker that was just listed. */
export function freshRow(index: number, listed: Listed): WorkerRow {
  return {
    index,
    listed,
    present: true,
    leaving: false,
    leaveBy: null,
    incarnation: null,
    answeredAt: null,
    missedProbes: 0,
    freshMs: ANSWER_FRESH_MS,
    ready: false,
    readyAt: 0,
    reported: 0,
    others: 0,
    window: WIDEST,
    inFlight: 0,
  };
}
