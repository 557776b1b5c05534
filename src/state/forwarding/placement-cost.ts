/**
 * What it would cost to run a request on a worker, in milliseconds of delay: reading what it does
 * not yet hold of the prompt, what waits and runs there, the way there, and doubts about it. The
 * weights are those of `edge-tuning.ts`; `worker-registry.ts` takes the cheapest worker.
 */

import type { EdgeTuning } from './edge-tuning.js';
import { sharedTokens } from '../discovery/home-worker.js';
import type { PrefixBlock } from '../discovery/prefix-cache.js';
import { spoiledFraction } from '../discovery/registry-row.js';
import type { RegistryRow } from '../discovery/registry-row.js';
import type { ModelTraits } from '../configuration/serving.js';

/** The proxy that places; `held` tells open connections to an address. */
export type SelectingProxy = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly openConnections: (address: string) => number;
};

/** A request that needs a worker: its model, its prompt by parts, its sizes and its bounds. */
export type SelectionRequest = {
  readonly model: string;
  readonly traits: ModelTraits | null;
  readonly parts: readonly PrefixBlock[];
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
  cost(row: RegistryRow, request: SelectionRequest, home: RegistryRow | null): number;
  regionDelayMs(row: RegistryRow): number;
  recordConnectTime(row: RegistryRow, ms: number): void;
}

class TunedPlacementCost implements PlacementCost {
  private readonly regionDelays = new Map<string, number>();

  constructor(
    private readonly self: SelectingProxy,
    private readonly tuning: EdgeTuning,
    private readonly isPreemptive: (model: string, zone: string) => boolean,
  ) {}

  /** Reading the prompt, after what waits there already. */
  private prefillMs(row: RegistryRow, request: SelectionRequest, known: number): number {
    const unread = Math.max(0, request.tokens - known);
    const backlog = row.unread + row.otherLoad.unread;
    let ms = (unread + backlog) / this.tuning.tokensPerMs;
    if (request.tokens <= 0) return ms;
    ms += Math.max(0, sharedTokens(request.parts) - known) * this.tuning.sharedMs;
    if (unread + backlog > this.tuning.stallTokens) ms += (row.running + row.otherLoad.running) * this.tuning.stallMs;
    const kvTokens = request.traits?.engine?.kvTokens ?? 0;
    const neededKvTokens = row.kvTokens + row.otherLoad.kvTokens + request.tokens + request.outTokens;
    if (kvTokens > 0 && neededKvTokens > kvTokens * this.tuning.kvFraction)
      ms += this.tuning.kvMs * (neededKvTokens / kvTokens);
    return ms;
  }

  /** Being one more among those that run there. */
  private crowdingMs(row: RegistryRow): number {
    const running = row.running + row.otherLoad.running;
    const over = running + 1 - row.entry.places;
    if (row.entry.places > 0 && over > 0) return this.tuning.overMs * (1 + over);
    return (running / Math.max(1, row.entry.places)) ** 2 * this.tuning.crowdedMs;
  }

  /** The way there and back. */
  private networkMs(row: RegistryRow, request: SelectionRequest): number {
    let ms = this.self.openConnections(row.entry.address) === 0 ? this.tuning.dialMs : 0;
    if (row.entry.region !== this.self.region)
      ms +=
        this.regionDelayMs(row) +
        (request.bytes + request.outTokens * this.tuning.bytesPerToken) / this.tuning.bytesPerMs;
    else if (row.entry.zone !== this.self.zone) ms += this.tuning.crossZoneMs;
    return ms;
  }

  /** What its state and its answers so far make likely. */
  private uncertaintyMs(row: RegistryRow, request: SelectionRequest): number {
    let ms =
      row.fails * this.tuning.failMs +
      spoiledFraction(row, request.now, this.tuning.spoiltLeast) * this.tuning.spoiltMs;
    if (row.coldUntil > request.now) ms += this.tuning.coldMs;
    if (row.doubtUntil > request.now) ms += this.tuning.doubtMs;
    if (this.isPreemptive(request.model, row.entry.zone)) ms += this.tuning.preemptiveMs;
    return ms;
  }

  cost(row: RegistryRow, request: SelectionRequest, home: RegistryRow | null): number {
    const known = request.pinned
      ? Math.max(row.prefixCache.known(request.parts), row === home ? sharedTokens(request.parts) : 0)
      : 0;
    return (
      this.prefillMs(row, request, known) +
      this.crowdingMs(row) +
      this.networkMs(row, request) +
      this.uncertaintyMs(row, request)
    );
  }

  regionDelayMs(row: RegistryRow): number {
    return this.regionDelays.get(row.entry.region) ?? this.tuning.farMs;
  }

  recordConnectTime(row: RegistryRow, ms: number): void {
    const { region } = row.entry;
    const had = this.regionDelays.get(region);
    this.regionDelays.set(region, had === undefined ? ms : Math.min(had * 1.02, ms));
  }
}

/** Costs by the tuning; `isPreemptive` tells zones where spot machines were lately taken back. */
export function createPlacementCost(
  self: SelectingProxy,
  tuning: EdgeTuning,
  isPreemptive: (model: string, zone: string) => boolean,
): PlacementCost {
  return new TunedPlacementCost(self, tuning, isPreemptive);
}
