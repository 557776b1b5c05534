/** How long streams take just now, against what a request's size alone lets expect. */

/** Remembers for each model how much slower than expected its streams ended lately. */
export interface StreamPace {
  /** A stream that was expected to take so long ended after `tookMs`. Times in milliseconds. */
  record(model: string, expectedMs: number, tookMs: number, now: number): void;
  /** How long a stream of this model takes that would take so long at the usual pace, with a margin. */
  expect(model: string, expectedMs: number, now: number): number;
}

/** Older streams tell nothing of how busy the workers are now. */
const KEPT_MS = 10_000;
/** The next stream may be slower than the slowest one that was seen. */
const MARGIN = 1.25;

type Seen = { readonly slowdown: number; readonly at: number };

class RecentStreamPace implements StreamPace {
  /** By model, oldest first and ever less slow: what is behind a slower one that came later is dropped. */
  private readonly seen = new Map<string, Seen[]>();

  record(model: string, expectedMs: number, tookMs: number, now: number): void {
    if (expectedMs <= 0) return;
    const slowdown = tookMs / expectedMs;
    const list = this.seen.get(model) ?? [];
    while (list.length > 0 && (list.at(-1) as Seen).slowdown <= slowdown) list.pop();
    list.push({ slowdown, at: now });
    while (now - (list[0] as Seen).at > KEPT_MS) list.shift();
    this.seen.set(model, list);
  }

  expect(model: string, expectedMs: number, now: number): number {
    const slowest = this.seen.get(model)?.find(({ at }) => now - at <= KEPT_MS);
    return expectedMs * Math.max(1, MARGIN * (slowest?.slowdown ?? 0));
  }
}

/** A tracker that has seen nothing: streams are expected at the usual pace. */
export function createStreamPace(): StreamPace {
  return new RecentStreamPace();
}
