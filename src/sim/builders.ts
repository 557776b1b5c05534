/** Ordinary values of records that many tests need; each test gives what matters to it. */
import type { RouteSettings } from '../state/configuration/serving.js';
import type { WorkerEntry } from '../state/discovery/worker-entry.js';
import type { MemberView } from '../state/membership/core-health.js';

/** A member of the group that is in touch and holds everything. */
export function memberView(name: string, more: Partial<MemberView> = {}): MemberView {
  return {
    id: `${name}#i`,
    name,
    inTouch: true,
    learned: 9,
    top: 9,
    writable: true,
    isComplete: true,
    unheard: [],
    ...more,
  };
}

/** A worker of model `m` that serves, in a region named like its zone. */
export function workerEntry(id: string, zone: string, more: Partial<WorkerEntry> = {}): WorkerEntry {
  return {
    id,
    model: 'm',
    address: `${id}:1`,
    zone,
    region: zone,
    release: 'v1',
    places: 64,
    leaving: false,
    remainingMs: null,
    coldMs: 0,
    ...more,
  };
}

/** A route of streams to model `m`. */
export function routeSettings(more: Partial<RouteSettings> = {}): RouteSettings {
  return {
    at: 0,
    host: 'a.example',
    prefix: '/p/',
    kind: 'stream',
    resumable: false,
    pinned: true,
    rank: 0,
    deadlineMs: 5_000,
    aimMs: 800,
    pauseMs: null,
    attempts: 1,
    shares: [{ model: 'm', share: 1 }],
    split: false,
    homes: [],
    ...more,
  };
}
