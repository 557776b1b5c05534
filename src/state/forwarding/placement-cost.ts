/**
 * Estimates the cost of running a request on a worker, in milliseconds of delay: prefill of the uncached part of the
 * prompt, load of the worker, network delay, and penalties for an unreliable worker. The weights are in
 * `edge-tuning.ts`; `worker-registry.ts` selects the worker with the lowest cost.
 */

import type { EdgeTuning } from './edge-tuning.js';
import { sharedTokens } from '../discovery/home-worker.js';
import type { PrefixBlock } from '../discovery/prefix-cache.js';
import { spoiledFraction } from '../discovery/registry-row.js';
import type { RegistryRow } from '../discovery/registry-row.js';
import type { ModelTraits } from '../configuration/serving.js';

/** The proxy that selects a worker; `openConnections` returns how many connections it has to an address. */
export type SelectingProxy = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly openConnections: (address: string) => number;
};

/** A request that needs a worker: its model, the parts of its prompt, its sizes and its constraints. */
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

/** Estimates the cost of workers for one proxy; `recordConnectTime` records how long connecting to a worker took. */
export interface PlacementCost {
  cost(row: RegistryRow, request: SelectionRequest, home: RegistryRow | null): number;
  regionDelayMs(row: RegistryRow): number;
  recordConnectTime(row: RegistryRow, ms: number): void;
}

class EstimatedPlacementCost implements PlacementCost {
  private readonly regionDelays = new Map<string, number>();

  constructor(
    private readonly self: SelectingProxy,
    private readonly tuning: EdgeTuning,
    private readonly isPreemptive: (model: string, zone: string) => boolean,
  ) {}

  /** Time to read the prompt, after the prompts that wait at the worker already. */
  private prefillMs(row: RegistryRow, request: SelectionRequest, cachedTokens: number): number {
    const uncachedTokens = Math.max(0, request.tokens - cachedTokens);
    const backlogTokens = row.unread + row.otherLoad.unread;
    let ms = (uncachedTokens + backlogTokens) / this.tuning.tokensPerMs;
    if (request.tokens <= 0) return ms;
    ms += Math.max(0, sharedTokens(request.parts) - cachedTokens) * this.tuning.sharedMs;
    if (uncachedTokens + backlogTokens > this.tuning.stallTokens)
      ms += (row.running + row.otherLoad.running) * this.tuning.stallMs;
    const kvTokens = request.traits?.engine?.kvTokens ?? 0;
    const neededKvTokens = row.kvTokens + row.otherLoad.kvTokens + request.tokens + request.outTokens;
    if (kvTokens > 0 && neededKvTokens > kvTokens * this.tuning.kvFraction)
      ms += this.tuning.kvMs * (neededKvTokens / kvTokens);
    return ms;
  }

  /** Delay from sharing the worker with the requests that run there. */
  private contentionMs(row: RegistryRow): number {
    const running = row.running + row.otherLoad.running;
    const excess = running + 1 - row.entry.places;
    if (row.entry.places > 0 && excess > 0) return this.tuning.overMs * (1 + excess);
    return (running / Math.max(1, row.entry.places)) ** 2 * this.tuning.crowdedMs;
  }

  /** Network delay of the request and its response. */
  private networkMs(row: RegistryRow, request: SelectionRequest): number {
    let ms = this.self.openConnections(row.entry.address) === 0 ? this.tuning.dialMs : 0;
    if (row.entry.region !== this.self.region)
      ms +=
        this.regionDelayMs(row) +
        (request.bytes + request.outTokens * this.tuning.bytesPerToken) / this.tuning.bytesPerMs;
    else if (row.entry.zone !== this.self.zone) ms += this.tuning.crossZoneMs;
    return ms;
  }

  /** Delay to expect from the worker's state and its recent failures. */
  private reliabilityPenaltyMs(row: RegistryRow, request: SelectionRequest): number {
    let ms =
      row.fails * this.tuning.failMs +
      spoiledFraction(row, request.now, this.tuning.spoiltLeast) * this.tuning.spoiltMs;
    if (row.coldUntil > request.now) ms += this.tuning.coldMs;
    if (row.doubtUntil > request.now) ms += this.tuning.doubtMs;
    if (this.isPreemptive(request.model, row.entry.zone)) ms += this.tuning.preemptiveMs;
    return ms;
  }

  cost(row: RegistryRow, request: SelectionRequest, home: RegistryRow | null): number {
    const cachedTokens = request.pinned
      ? Math.max(row.prefixCache.known(request.parts), row === home ? sharedTokens(request.parts) : 0)
      : 0;
    return (
      this.prefillMs(row, request, cachedTokens) +
      this.contentionMs(row) +
      this.networkMs(row, request) +
      this.reliabilityPenaltyMs(row, request)
    );
  }

  regionDelayMs(row: RegistryRow): number {
    return this.regionDelays.get(row.entry.region) ?? this.tuning.farMs;
  }

  recordConnectTime(row: RegistryRow, ms: number): void {
    const { region } = row.entry;
    const previousMs = this.regionDelays.get(region);
    this.regionDelays.set(region, previousMs === undefined ? ms : Math.min(previousMs * 1.02, ms));
  }
}

/** Creates an estimator; `isPreemptive` returns true for zones where spot machines were recently reclaimed. */
export function createPlacementCost(
  self: SelectingProxy,
  tuning: EdgeTuning,
  isPreemptive: (model: string, zone: string) => boolean,
): PlacementCost {
  return new EstimatedPlacementCost(self, tuning, isPreemptive);
}
