/**
 * State that a proxy keeps for one worker in its registry: the list entry, the load from this proxy and from the
 * others, and the health derived from responses. Owned and changed by `worker-registry.ts` alone. Times are in
 * milliseconds of the monotonic clock of the proxy.
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

/** A proxy that shares the workers, as recorded in the replicated log. */
export type SharingProxy = { readonly region: string };

/**
 * One worker. `isSuspected` means that it is taken for unreachable until a connection to it succeeds. A failure starts
 * a backoff, during which it gets no requests and, if suspected, is not dialled again. Until `doubtUntil` it is ranked
 * lower, as it may be a new incarnation after a time without contact.
 */
export type RegistryRow = {
  entry: WorkerEntry;
  present: boolean;
  leaving: boolean;
  leaveBy: number | null;
  coldUntil: number;
  coldStarts: RateGuard;
  running: number;
  unread: number;
  kvTokens: number;
  otherLoad: WorkerLoad;
  reportedLoad: WorkerLoad;
  fails: number;
  badUntil: number;
  isSuspected: boolean;
  unresponsiveSince: number;
  doubtUntil: number;
  fullUntil: number;
  prefixCache: PrefixCache;
  runs: RunCounts;
  owners: {
    readonly proxies: Readonly<Record<string, SharingProxy>>;
    readonly maxOwners: number;
    readonly names: readonly string[];
  } | null;
};

/**
 * Load on a worker: requests, prompt tokens not yet read (prefilled), tokens of KV cache, recent runs, and the bad ones
 * among these.
 */
export type WorkerLoad = {
  readonly running: number;
  readonly unread: number;
  readonly kvTokens: number;
  readonly bad: number;
  readonly ran: number;
};
/** The load of an idle worker. */
export const NO_LOAD: WorkerLoad = { running: 0, unread: 0, kvTokens: 0, bad: 0, ran: 0 };

/** Window in which requests to a cold worker are counted: slightly over the one second that its rate refers to. */
const COLD_START_WINDOW_MS = 1_150;

/** Creates the row of a newly listed worker. */
export function createRegistryRow(entry: WorkerEntry, tuning: EdgeTuning): RegistryRow {
  return {
    entry,
    present: true,
    leaving: entry.leaving,
    leaveBy: null,
    coldUntil: 0,
    coldStarts: createRateGuard(COLD_START_WINDOW_MS),
    running: 0,
    unread: 0,
    kvTokens: 0,
    otherLoad: NO_LOAD,
    reportedLoad: NO_LOAD,
    fails: 0,
    badUntil: 0,
    isSuspected: false,
    unresponsiveSince: 0,
    doubtUntil: 0,
    fullUntil: 0,
    prefixCache: createPrefixCache(tuning.knownTokens),
    runs: createRunCounts(tuning.runsMs),
    owners: null,
  };
}

/** Returns the fraction of recent runs on all proxies that were bad; 0 if fewer than `minBad` were bad. */
export function spoiledFraction(row: RegistryRow, now: number, minBad: number): number {
  const bad = row.runs.bad(now) + row.otherLoad.bad;
  const ran = row.runs.ran(now) + row.otherLoad.ran;
  return bad < minBad ? 0 : bad / Math.max(1, ran);
}

/** Returns the load of the other proxies on a worker: the total of all proxies minus what this proxy reported. */
export function loadOfOthers(total: LoadRows[string], reportedLoad: WorkerLoad): WorkerLoad {
  return {
    running: Math.max(0, total[0] - reportedLoad.running),
    unread: Math.max(0, total[1] - reportedLoad.unread),
    kvTokens: Math.max(0, total[2] - reportedLoad.kvTokens),
    bad: Math.max(0, total[3] - reportedLoad.bad),
    ran: Math.max(0, total[4] - reportedLoad.ran),
  };
}
