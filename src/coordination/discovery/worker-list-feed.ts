/** The list of workers as an interface, and a feed that polls it. */
import { createEvents } from '../../base/events.js';
import type { Result } from '../../base/result.js';
import type { WorkerEntry } from '../../state/discovery/worker-entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';

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

class PolledListFeed implements WorkerListFeed {
  readonly events = createEvents<WorkerListFeedEvents>();
  private list: readonly WorkerEntry[] = [];
  private at: number | null = null;
  private asking = false;
  private readonly polling: Timer;

  constructor(
    private readonly reader: WorkerListReader,
    private readonly clock: Clock,
    everyMs: number,
  ) {
    this.polling = every(this.clock, everyMs, () => this.tick());

    this.tick();
  }

  private async poll(): Promise<void> {
    if (this.asking) return;
    this.asking = true;
    const from = this.clock.mono();
    const response = await this.reader.read();
    this.asking = false;
    if (!response.ok) return;
    this.list = response.value;
    this.at = from;
    this.events.emit('changed', { entries: this.list });
  }

  private tick(): void {
    void this.poll();
  }

  entries(): readonly WorkerEntry[] {
    return this.list;
  }

  asOf(): number | null {
    return this.at;
  }

  stop(): void {
    this.polling.cancel();
  }
}

/** A feed that reads the list each `everyMs` milliseconds. */
export function createPolledFeed(reader: WorkerListReader, clock: Clock, everyMs: number): WorkerListFeed {
  return new PolledListFeed(reader, clock, everyMs);
}
