/** Computes the result of a day in the engine model: its worth by kind of request, size class, zone and window. */

import type { PrefixBlock } from '../../state/discovery/prefix-cache.js';
import type { DeployedProxy, Deployment, RequestKind } from './deployment.js';
import type { EngineCounts } from './engine-worker.js';

/** The result of a day. Worth is a fraction of what all requests would earn if they were in time. */
export type EngineDayResult = {
  readonly asked: number;
  readonly onTime: number;
  readonly late: number;
  readonly unserved: number;
  /** Late requests whose first event was in time, but which had too long a pause. */
  readonly paused: number;
  /** Mean worth, that of the worst kind or size class, zone and windows, and the price of repeated prefill. */
  readonly mean: number;
  readonly worstClass: number;
  readonly worstZone: number;
  readonly worstWindows: number;
  readonly rereadPrice: number;
  readonly worth: number;
  readonly prefilledTokens: number;
  readonly repeatedPrefillTokens: number;
  readonly preemptions: number;
  /** Milliseconds to the first event, for requests of the first kind: median, 90th and 99th percentile. */
  readonly firstMs: { readonly p50: number; readonly p90: number; readonly p99: number };
};

/** A request as seen by the tally. Times are milliseconds of the day; `firstEventAt` is null before the first event. */
export type TalliedRequest = {
  readonly kind: RequestKind;
  readonly proxy: { readonly deployed: DeployedProxy };
  readonly arrivedAt: number;
  readonly parts: readonly PrefixBlock[];
  readonly promptTokens: number;
  readonly outTokens: number;
  readonly firstEventAt: number | null;
  readonly longestPauseMs: number;
};

/** Collects the outcomes of the requests of a day. */
export interface EngineTally {
  /** Called when a request arrives. */
  asked(request: TalliedRequest): void;
  /** Called when a prompt is prefilled, with the number of its tokens that were cached. */
  read(request: TalliedRequest, cachedTokens: number): void;
  addServed(request: TalliedRequest): void;
  addUnserved(request: TalliedRequest): void;
  /** Adds the totals of a worker at the end of the day. */
  worker(counts: EngineCounts): void;
  result(): EngineDayResult;
}

type Outcome = {
  readonly kind: string;
  readonly zone: string;
  readonly window: number;
  readonly size: number;
  readonly base: number;
  readonly lateFraction: number;
  readonly onTime: boolean;
  readonly paused: boolean;
  readonly served: boolean;
  readonly firstMs: number;
};

const WINDOW_MS = 2_000;
const WORST_WINDOWS = 2;
const OUT_TOKEN_WEIGHT = 10;
const MAX_SIZE_WEIGHT = 4;
const WEIGHTS = { mean: 0.4, class: 0.3, zone: 0.2, window: 0.1 };
const LARGEST_FRACTION = 0.1;
const LARGE_FRACTION = 0.3;

class OutcomeTally implements EngineTally {
  private readonly outcomes: Outcome[] = [];
  private readonly seen = new Set<string>();
  private repeatedPrefillTokens = 0;
  private prefilledTokens = 0;
  private preemptions = 0;
  private requestCount = 0;

  constructor(private readonly deployment: Deployment) {}

  asked(): void {
    this.requestCount += 1;
  }

  read(request: TalliedRequest, cachedTokens: number): void {
    let offset = 0;
    for (const part of request.parts.slice(0, -1)) {
      const wasSeen = this.seen.has(part.id);
      this.seen.add(part.id);
      if (wasSeen && offset >= cachedTokens) this.repeatedPrefillTokens += part.tokens;
      offset += part.tokens;
    }
  }

  addServed(request: TalliedRequest): void {
    const firstMs = (request.firstEventAt ?? Infinity) - request.arrivedAt;
    const onTime = firstMs <= request.kind.aimMs && request.longestPauseMs <= request.kind.pauseMs;
    this.addOutcome(request, firstMs, onTime, true);
  }

  addUnserved(request: TalliedRequest): void {
    this.addOutcome(request, Infinity, false, false);
  }

  private addOutcome(request: TalliedRequest, firstMs: number, onTime: boolean, served: boolean): void {
    const { kind } = request;
    this.outcomes.push({
      kind: kind.name,
      zone: request.proxy.deployed.zone,
      window: Math.floor(request.arrivedAt / WINDOW_MS),
      size: request.promptTokens + OUT_TOKEN_WEIGHT * request.outTokens,
      base: kind.fullWorth,
      lateFraction: kind.lateWorth / kind.fullWorth,
      onTime,
      paused: served && !onTime && firstMs <= kind.aimMs,
      served,
      firstMs,
    });
  }

  worker(counts: EngineCounts): void {
    this.prefilledTokens += counts.read;
    this.preemptions += counts.preemptions;
  }

  result(): EngineDayResult {
    const means = meanSizes(this.outcomes);
    const overall = worthOf(this.outcomes, means);
    const firstKind = this.deployment.kinds[0]?.name;
    const firstEventTimes = this.outcomes
      .filter((outcome) => outcome.kind === firstKind && outcome.served)
      .map(firstMsOf);
    firstEventTimes.sort((left, right) => left - right);
    const windows = [...groupsBy(this.outcomes, (outcome) => String(outcome.window)).values()]
      .map((group) => worthOf(group, means).fraction)
      .sort((left, right) => left - right);
    const lowestWindows = windows.slice(0, WORST_WINDOWS);
    const worstWindows = lowestWindows.reduce(sum, 0) / Math.max(1, lowestWindows.length);
    const worstClass = Math.min(...classesOf(this.outcomes).map((group) => worthOf(group, means).fraction));
    const zones = [...groupsBy(this.outcomes, (outcome) => outcome.zone).values()];
    const worstZone = Math.min(...zones.map((group) => worthOf(group, means).fraction));
    const rereadPrice =
      ((this.repeatedPrefillTokens / 1_000) * this.deployment.rereadPrice) / Math.max(1, overall.attainable);
    return {
      asked: this.requestCount,
      onTime: this.outcomes.filter((outcome) => outcome.onTime).length,
      late: this.outcomes.filter((outcome) => outcome.served && !outcome.onTime).length,
      unserved: this.outcomes.filter((outcome) => !outcome.served).length,
      paused: this.outcomes.filter((outcome) => outcome.paused).length,
      mean: overall.fraction,
      worstClass,
      worstZone,
      worstWindows,
      rereadPrice,
      worth:
        WEIGHTS.mean * overall.fraction +
        WEIGHTS.class * worstClass +
        WEIGHTS.zone * worstZone +
        WEIGHTS.window * worstWindows -
        rereadPrice,
      prefilledTokens: this.prefilledTokens,
      repeatedPrefillTokens: this.repeatedPrefillTokens,
      preemptions: this.preemptions,
      firstMs: {
        p50: quantile(firstEventTimes, 0.5),
        p90: quantile(firstEventTimes, 0.9),
        p99: quantile(firstEventTimes, 0.99),
      },
    };
  }
}

/** Creates an empty tally. */
export function createEngineTally(deployment: Deployment): EngineTally {
  return new OutcomeTally(deployment);
}

function sum(left: number, right: number): number {
  return left + right;
}
function firstMsOf(outcome: Outcome): number {
  return outcome.firstMs;
}
function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN;
}

function meanSizes(outcomes: readonly Outcome[]): Map<string, number> {
  const means = new Map<string, number>();
  for (const [kind, group] of groupsBy(outcomes, (outcome) => outcome.kind))
    means.set(kind, group.reduce((total, outcome) => total + outcome.size, 0) / group.length);
  return means;
}

function worthOf(outcomes: readonly Outcome[], means: Map<string, number>): { attainable: number; fraction: number } {
  let attainable = 0;
  let earned = 0;
  for (const outcome of outcomes) {
    const relative = outcome.size / (means.get(outcome.kind) ?? outcome.size);
    const worth = outcome.base * Math.min(MAX_SIZE_WEIGHT, 0.3 + 0.7 * relative);
    attainable += worth;
    if (outcome.served) earned += outcome.onTime ? worth : worth * outcome.lateFraction;
  }
  return { attainable, fraction: attainable === 0 ? 1 : earned / attainable };
}

function groupsBy(outcomes: readonly Outcome[], keyOf: (outcome: Outcome) => string): Map<string, Outcome[]> {
  const groups = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const key = keyOf(outcome);
    const group = groups.get(key);
    if (group) group.push(outcome);
    else groups.set(key, [outcome]);
  }
  return groups;
}

/** For each kind of request: all its requests, the largest tenth, and the next fifth by size. */
function classesOf(outcomes: readonly Outcome[]): Outcome[][] {
  const classes: Outcome[][] = [];
  for (const group of groupsBy(outcomes, (outcome) => outcome.kind).values()) {
    const bySize = [...group].sort((left, right) => right.size - left.size);
    const largest = Math.ceil(bySize.length * LARGEST_FRACTION);
    const large = Math.ceil(bySize.length * LARGE_FRACTION);
    classes.push(group, bySize.slice(0, largest), bySize.slice(largest, large));
  }
  return classes.filter((group) => group.length > 0);
}
