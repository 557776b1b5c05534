import { createEvents } from '../../base/events.js';
import type { Result } from '../../base/result.js';
import type { WorkerEntry } from '../../state/worker-entry.js';
import { every } from '../../transport/clock.js';
import type { Clock } from '../../transport/clock.js';

export type ListFeedEvents = { readonly changed: { readonly entries: readonly WorkerEntry[] } };

export type ListFault = { readonly tag: 'listSilent' } | { readonly tag: 'listNonsense'; readonly detail: string };

export type ListReader = { readonly read: () => Promise<Result<readonly WorkerEntry[], ListFault>> };

export type ListFeed = {
  readonly entries: () => readonly WorkerEntry[];
  readonly asOf: () => number | null;
  readonly events: {
    readonly on: <K extends keyof ListFeedEvents>(name: K, fn: (e: ListFeedEvents[K]) => void) => void;
  };
  readonly stop: () => void;
};

export function createPolledFeed(reader: ListReader, clock: Clock, everyMs: number): ListFeed {
  const events = createEvents<ListFeedEvents>();
  let list: readonly WorkerEntry[] = [];
  let at: number | null = null;
  let asking = false;

  async function poll(): Promise<void> {
    if (asking) return;
    asking = true;
    const from = clock.mono();
    const got = await reader.read();
    asking = false;
    if (!got.ok) return;
    list = got.value;
    at = from;
    events.emit('changed', { entries: list });
  }
  function tick(): void {
    void poll();
  }
  const polling = every(clock, everyMs, tick);
  tick();

  function entries(): readonly WorkerEntry[] {
    return list;
  }
  function asOf(): number | null {
    return at;
  }
  return { entries, asOf, events, stop: polling.cancel };
}
