/**
 * What it would cost to run a request on a worker, in milliseconds of delay: reading what it does
 * not yet hold of the prompt, what waits and runs there, the way there, and doubts about it. The
 * weights are those of `edge-tuning.ts`; `worker-registry.ts` takes the cheapest worker.
 */

import type { EdgeTuning } from './edge-tuning.js';
import { sharedTokens } from './home-worker.js';
import type { Part } from './prefix-cache.js';
import { spoilShare } from './registry-row.js';
import type { BookRow } from './registry-row.js';
import type { ModelTraits } from './serving.js';

/** The proxy that places; `held` tells open connections to an address. */
export type BookSelf = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly held: (address: string) => number;
};

/** A request that needs a worker: its model, its prompt by parts, its sizes and its bounds. */
export type PlaceAsk = {
  readonly model: string;
  readonly traits: ModelTraits | null;
  readonly parts: readonly Part[];
  readonly tokens: number;
  readonly outTokens: number;
  readonly bytes: number;
  readonly homes: readonly string[];
  readonly pinned: boolean;
  readonly avoid: ReadonlySet<string>;
  readonly now: number;
};

/** Costs of workers as one proxy sees them; `took` notes how long connecting to a worker took. */
export type PlacementCost = {
  readonly cost: (row: BookRow, ask: PlaceAsk, home: BookRow | null) => number;
  readonly awayMs: (row: BookRow) => number;
  readonly took: (row: BookRow, ms: number) => void;
};

/** Costs by the tuning; `isPreemptive` tells zones where spot machines were lately taken back. */
export function createPlacementCost(
  self: BookSelf,
  tuning: EdgeTuning,
  isPreemptive: (model: string, zone: string) => boolean,
): PlacementCost {
  const away = new Map<string, number>();

  /** Reading the prompt, after what waits there already. */
  function readingMs(row: BookRow, ask: PlaceAsk, known: number): number {
    const unread = Math.max(0, ask.tokens - known);
    const backlog = row.unread + row.others.unread;
    let ms = (unread + backlog) / tuning.tokensPerMs;
    if (ask.tokens <= 0) return ms;
    ms += Math.max(0, sharedTokens(ask.parts) - known) * tuning.sharedMs;
    if (unread + backlog > tuning.stallTokens) ms += (row.running + row.others.running) * tuning.stallMs;
    const kvTokens = ask.traits?.engine?.kvTokens ?? 0;
    const kv = row.kv + row.others.kv + ask.tokens + ask.outTokens;
    if (kvTokens > 0 && kv > kvTokens * tuning.kvShare) ms += tuning.kvMs * (kv / kvTokens);
    return ms;
  }

  /** Being one more among those that run there. */
  function crowdingMs(row: BookRow): number {
    const running = row.running + row.others.running;
    const over = running + 1 - row.entry.places;
    if (row.entry.places > 0 && over > 0) return tuning.overMs * (1 + over);
    return (running / Math.max(1, row.entry.places)) ** 2 * tuning.crowdedMs;
  }

  /** The way there and back. */
  function wayMs(row: BookRow, ask: PlaceAsk): number {
    let ms = self.held(row.entry.address) === 0 ? tuning.dialMs : 0;
    if (row.entry.region !== self.region)
      ms += awayMs(row) + (ask.bytes + ask.outTokens * tuning.bytesPerToken) / tuning.bytesPerMs;
    else if (row.entry.zone !== self.zone) ms += tuning.crossZoneMs;
    return ms;
  }

  /** What its state and its answers so far make likely. */
  function doubtMs(row: BookRow, ask: PlaceAsk): number {
    let ms = row.fails * tuning.failMs + spoilShare(row, ask.now, tuning.spoiltLeast) * tuning.spoiltMs;
    if (row.coldUntil > ask.now) ms += tuning.coldMs;
    if (row.doubtUntil > ask.now) ms += tuning.doubtMs;
    if (isPreemptive(ask.model, row.entry.zone)) ms += tuning.preemptiveMs;
    return ms;
  }

  function cost(row: BookRow, ask: PlaceAsk, home: BookRow | null): number {
    const known = ask.pinned ? Math.max(row.kept.known(ask.parts), row === home ? sharedTokens(ask.parts) : 0) : 0;
    return readingMs(row, ask, known) + crowdingMs(row) + wayMs(row, ask) + doubtMs(row, ask);
  }

  function awayMs(row: BookRow): number {
    return away.get(row.entry.region) ?? tuning.farMs;
  }
  function took(row: BookRow, ms: number): void {
    const { region } = row.entry;
    const had = away.get(region);
    away.set(region, had === undefined ? ms : Math.min(had * 1.02, ms));
  }

  return { cost, awayMs, took };
}
