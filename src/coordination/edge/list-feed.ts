import { createEvents } from '../../base/events.js';
import type { Result } from '../../base/result.js';
import type { WorkerEntry } from '../../state/worker-entry.js';
import { every } from '../../transport/clock.js';
import type { Clock, Timer } from '../../transport/clock.js';

export type ListFeedEvents = { readonly changed: { readonly entries: readonly WorkerEntry[] } };

export type ListFault = { readonly tag: 'listSilent' } | { readonly tag: 'listNonsense'; readonly detail: string };

export type ListReader = { readonly read: () => Promise<Result<readonly WorkerEntry[], ListFault>> };

export interface ListFeed {
  entries(): readonly WorkerEntry[];
  asOf(): number | null;
  readonly events: {
    readonly on: <K extends keyof ListFeedEvents>(name: K, fn: (e: ListFeedEvents[K]) => void) => void;
  };
  stop(): void;
}

class PolledListFeed implements ListFeed {
  readonly events = createEvents<ListFeedEvents>();
  private list: readonly WorkerEntry[] = [];
  private at: number | null = null;
  private asking = false;
  private readonly polling: Timer;

  constructor(
    private readonly reader: ListReader,
    private readonly clock: Clock,
    private readonly everyMs: number,
  ) {
    this.polling = every(this.clock, this.everyMs, () => this.tick());

    this.tick();
  }

  private async poll(): Promise<void> {
    if (this.asking) return;
    this.asking = true;
    const from = this.clock.mono();
    const got = await this.reader.read();
    this.asking = false;
    if (!got.ok) return;
    this.list = got.value;
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

export function createPolledFeed(reader: ListReader, clock: Clock, everyMs: number): ListFeed {
  return new PolledListFeed(reader, clock, everyMs);
}
