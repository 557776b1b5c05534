/** Interfaces for reading and following the worker list. */
import type { Result } from '../../base/result.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';

/** `changed` carries the complete list. */
export type WorkerListFeedEvents = { readonly changed: { readonly entries: readonly WorkerEntry[] } };

/** Why reading the list failed: no response, or an invalid one. */
export type WorkerListError =
  { readonly tag: 'listSilent' } | { readonly tag: 'listNonsense'; readonly detail: string };

/** Reads the list from its source. */
export type WorkerListReader = { readonly read: () => Promise<Result<readonly WorkerEntry[], WorkerListError>> };

/** The newest list. `asOf` is when it was read, by the monotonic clock; null before the first reading. */
export interface WorkerListFeed {
  entries(): readonly WorkerEntry[];
  asOf(): number | null;
  readonly events: {
    readonly on: <K extends keyof WorkerListFeedEvents>(
      name: K,
      callback: (event: WorkerListFeedEvents[K]) => void,
    ) => void;
  };
  stop(): void;
}
