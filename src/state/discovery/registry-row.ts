/**
 * What a proxy holds of one worker in its registry: what the list told, what runs there through
 * this proxy and through the others, and what its answers made of it. Owned and changed by
 * `worker-registry.ts` alone; times are the proxy's monotonic clock, in milliseconds.
 */

import type { EdgeTuning } from '../forwarding/edge-tuning.js';
import type { LoadRows } from '../distribution/load-rows.js';
import { createPrefixCache } from './prefix-cache.js';
import type { PrefixCache } from './prefix-cache.js';
import { createRateGuard } from '../forwarding/rate-guard.js';
import type { RateGuard } from '../forwarding/rate-guard.js';
import { createRunCounts } from '../forwarding/run-counts.js';
import type { RunCounts } from '../forwarding/run-counts.js';
import type { WorkerEntry } from './worker-entry.js';

/** A proxy that shares the workers, as the ledger knows it. */
export type SharingProxy = { readonly region: string };

/** One worker. `unproven` means that it fell silent and has not been reached since. */
export type RegistryRow = {
  entry: WorkerEntry;
  present: boolean;
  leaving: boolean;
  leaveBy: number | null;
  coldUntil: number;
  cold: RateGuard;
  running: number;
  unread: number;
  kvTokens: number;
  otherLoad: WorkerLoad;
  reportedLoad: WorkerLoad;
  fails: number;
  badUntil: number;
  unproven: boolean;
  unresponsiveSince: number;
  doubtUntil: number;
  fullUntil: number;
  prefixCache: PrefixCache;
  runs: RunCounts;
  owners: {
    readonly proxies: Readonly<Record<string, SharingProxy>>;
    readonly most: number;
    readonly names: readonly string[];
  } | null;
};

/** What is on a worker: requests, tokens not yet read, tokens of KV cache, and recent runs, of which bad ones. */
export type WorkerLoad = {
  readonly running: number;
  readonly unread: number;
  readonly kvTokens: number;
  readonly bad: number;
  readonly ran: number;
};
/** Nothing. */
export const NO_LOAD: WorkerLoad = { running: 0, unread: 0, kvTokens: 0, bad: 0, ran: 0 };

/** Window in which the starts of a cold worker are counted: a little over the second that its rate is for. */
const COLD_WINDOW_MS = 1_150;

/** The row of a worker that was just listed. */
export function freshRow(entry: WorkerEntry, tuning: EdgeTuning): RegistryRow {
  return {
    entry,
    present: true,
    leaving: entry.leaving,
    leaveBy: null,
    coldUntil: 0,
    cold: createRateGuard(COLD_WINDOW_MS),
    running: 0,
    unread: 0,
    kvTokens: 0,
    otherLoad: NO_LOAD,
    reportedLoad: NO_LOAD,
    fails: 0,
    badUntil: 0,
    unproven: false,
    unresponsiveSince: 0,
    doubtUntil: 0,
    fullUntil: 0,
    prefixCache: createPrefixCache(tuning.knownTokens),
    runs: createRunCounts(tuning.runsMs),
    owners: null,
  };
}

/** The share of recent runs that were bad, on all proxies; 0 while they are too few to judge. */
export function spoiledFraction(row: RegistryRow, now: number, least: number): number {
  const bad = row.runs.bad(now) + row.otherLoad.bad;
  const ran = row.runs.ran(now) + row.otherLoad.ran;
  return bad < least ? 0 : bad / Math.max(1, ran);
}

/** What the other proxies have on a worker: the sum of all less what this one told. */
export function beyond(sum: LoadRows[string], reportedLoad: WorkerLoad): WorkerLoad {
  return {
    running: Math.max(0, sum[0] - reportedLoad.running),
    unread: Math.max(0, sum[1] - reportedLoad.unread),
    kvTokens: Math.max(0, sum[2] - reportedLoad.kvTokens),
    bad: Math.max(0, sum[3] - reportedLoad.bad),
    ran: Math.max(0, sum[4] - reportedLoad.ran),
  };
}
