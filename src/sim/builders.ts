/** Builders of records with default values for tests; a test overrides only the fields that it depends on. */
import type { RouteSettings } from '../state/configuration/serving.js';
import type { WorkerEntry } from '../state/discovery/worker-entry.js';
import type { MemberView } from '../state/membership/core-health.js';

/** Builds a group member that is in contact and has a complete log. */
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

/** Builds a serving worker of model `m`, in a region that has the name of its zone. */
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

/** Builds a streaming route to model `m`. */
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
