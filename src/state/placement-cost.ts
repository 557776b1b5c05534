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
export interface PlacementCost {
  cost(row: BookRow, ask: PlaceAsk, home: BookRow | null): number;
  awayMs(row: BookRow): number;
  took(row: BookRow, ms: number): void;
}

class TunedPlacementCost implements PlacementCost {
  private readonly away = new Map<string, number>();

  constructor(
    private readonly self: BookSelf,
    private readonly tuning: EdgeTuning,
    private readonly isPreemptive: (model: string, zone: string) => boolean,
  ) {}

  /** Reading the prompt, after what waits there already. */
  private readingMs(row: BookRow, ask: PlaceAsk, known: number): number {
    const unread = Math.max(0, ask.tokens - known);
    const backlog = row.unread + row.others.unread;
    let ms = (unread + backlog) / this.tuning.tokensPerMs;
    if (ask.tokens <= 0) return ms;
    ms += Math.max(0, sharedTokens(ask.parts) - known) * this.tuning.sharedMs;
    if (unread + backlog > this.tuning.stallTokens) ms += (row.running + row.others.running) * this.tuning.stallMs;
    const kvTokens = ask.traits?.engine?.kvTokens ?? 0;
    const kv = row.kv + row.others.kv + ask.tokens + ask.outTokens;
    if (kvTokens > 0 && kv > kvTokens * this.tuning.kvShare) ms += this.tuning.kvMs * (kv / kvTokens);
    return ms;
  }

  /** Being one more among those that run there. */
  private crowdingMs(row: BookRow): number {
    const running = row.running + row.others.running;
    const over = running + 1 - row.entry.places;
    if (row.entry.places > 0 && over > 0) return this.tuning.overMs * (1 + over);
    return (running / Math.max(1, row.entry.places)) ** 2 * this.tuning.crowdedMs;
  }

  /** The way there and back. */
  private wayMs(row: BookRow, ask: PlaceAsk): number {
    let ms = this.self.held(row.entry.address) === 0 ? this.tuning.dialMs : 0;
    if (row.entry.region !== this.self.region)
      ms += this.awayMs(row) + (ask.bytes + ask.outTokens * this.tuning.bytesPerToken) / this.tuning.bytesPerMs;
    else if (row.entry.zone !== this.self.zone) ms += this.tuning.crossZoneMs;
    return ms;
  }

  /** What its state and its answers so far make likely. */
  private doubtMs(row: BookRow, ask: PlaceAsk): number {
    let ms = row.fails * this.tuning.failMs + spoilShare(row, ask.now, this.tuning.spoiltLeast) * this.tuning.spoiltMs;
    if (row.coldUntil > ask.now) ms += this.tuning.coldMs;
    if (row.doubtUntil > ask.now) ms += this.tuning.doubtMs;
    if (this.isPreemptive(ask.model, row.entry.zone)) ms += this.tuning.preemptiveMs;
    return ms;
  }

  cost(row: BookRow, ask: PlaceAsk, home: BookRow | null): number {
    const known = ask.pinned ? Math.max(row.kept.known(ask.parts), row === home ? sharedTokens(ask.parts) : 0) : 0;
    return this.readingMs(row, ask, known) + this.crowdingMs(row) + this.wayMs(row, ask) + this.doubtMs(row, ask);
  }

  awayMs(row: BookRow): number {
    return this.away.get(row.entry.region) ?? this.tuning.farMs;
  }

  took(row: BookRow, ms: number): void {
    const { region } = row.entry;
    const had = this.away.get(region);
    this.away.set(region, had === undefined ? ms : Math.min(had * 1.02, ms));
  }
}

/** Costs by the tuning; `isPreemptive` tells zones where spot machines were lately taken back. */
export function createPlacementCost(
  self: BookSelf,
  tuning: EdgeTuning,
  isPreemptive: (model: string, zone: string) => boolean,
): PlacementCost {
  return new TunedPlacementCost(self, tuning, isPreemptive);
}
