/** The list of workers as an interface. */
import type { Result } from '../../base/result.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';

/** `changed` comes with the whole list. */
export type WorkerListFeedEvents = { readonly changed: { readonly entries: readonly WorkerEntry[] } };

/** Why a reading failed: no answer, or one that makes no sense. */
export type WorkerListError =
  { readonly tag: 'listSilent' } | { readonly tag: 'listNonsense'; readonly detail: string };

/** Reads the list from where it is kept. */
export type WorkerListReader = { readonly read: () => Promise<Result<readonly WorkerEntry[], WorkerListError>> };

/** The newest list; `asOf` is when it was read, by the monotonic clock, null before the first. */
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
