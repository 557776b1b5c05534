/**
 * A model of a worker that serves a language model with continuous batching: prompts are prefilled in chunks
 * along with the decode steps of other requests, running requests and cached prompt parts share the KV memory,
 * the least recently used parts are evicted first, and when memory runs out the newest of the least urgent
 * requests is preempted: it goes back to the queue. One call of `advance` simulates one step. Pure: time is an
 * argument and a result.
 */

import { createPrefixCache } from '../../state/discovery/prefix-cache.js';
import type { PrefixBlock, PrefixCache } from '../../state/discovery/prefix-cache.js';

/** Parameters of a worker's engine. `slowdown` multiplies the duration of every step. */
export type EngineParameters = {
  readonly batch: number;
  readonly kvTokens: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly contextMsPerThousandTokens: number;
  readonly tokensPerMs: number;
  /** Cost of attention: milliseconds per million pairs of a prefilled token and a preceding one. */
  readonly attentionMsPerMillionPairs: number;
  readonly chunkTokens: number;
  readonly tokensPerEvent: number;
  readonly slowdown: number;
};

/** A request at a worker. `urgency` 0 is the most urgent. */
export type EngineRequest = {
  readonly id: number;
  readonly parts: readonly PrefixBlock[];
  readonly promptTokens: number;
  readonly outTokens: number;
  readonly urgency: number;
};

/** What happened in a step: a prompt was prefilled, an event of a stream was complete, or a request ended. */
export type EngineEvent =
  | { readonly tag: 'begun'; readonly id: number; readonly at: number; readonly cachedTokens: number }
  | { readonly tag: 'event'; readonly id: number; readonly at: number }
  | { readonly tag: 'end'; readonly id: number; readonly at: number };

/** Totals since the start: prompt tokens that were prefilled (`read`) or cached, and preempted requests. */
export type EngineCounts = { read: number; cached: number; preemptions: number };

type ScheduledRequest = {
  readonly request: EngineRequest;
  readonly order: number;
  remainingPrefill: number;
  cachedTokens: number;
  decodedTokens: number;
  begun: boolean;
};

/** A worker of the model. */
export interface EngineWorker {
  readonly counts: EngineCounts;
  add(request: EngineRequest): void;
  remove(id: number): void;
  /** Simulates one step from `now`; returns null when there is nothing to do. */
  advance(now: number): { readonly until: number; readonly events: readonly EngineEvent[] } | null;
  /** Number of prompt tokens that are still to be prefilled. */
  pendingPrefillTokens(): number;
  /** Number of requests at the worker, waiting or active. */
  running(): number;
  /** Number of leading tokens of a prompt that are cached. */
  cachedTokens(parts: readonly PrefixBlock[]): number;
}

class BatchingEngineWorker implements EngineWorker {
  readonly counts: EngineCounts = { read: 0, cached: 0, preemptions: 0 };
  private waiting: ScheduledRequest[] = [];
  private active: ScheduledRequest[] = [];
  private readonly prefixCache: PrefixCache;
  private orders = 0;

  constructor(private readonly parameters: EngineParameters) {
    this.prefixCache = createPrefixCache(parameters.kvTokens);
  }

  add(request: EngineRequest): void {
    this.orders += 1;
    this.enqueue({ request, order: this.orders, remainingPrefill: 0, cachedTokens: 0, decodedTokens: 0, begun: false });
  }

  private enqueue(entry: ScheduledRequest): void {
    let index = this.waiting.length;
    while (index > 0 && isBefore(entry, this.waiting[index - 1] as ScheduledRequest)) index -= 1;
    this.waiting.splice(index, 0, entry);
  }

  remove(id: number): void {
    this.waiting = this.waiting.filter(isOther);
    this.active = this.active.filter(isOther);
    function isOther(entry: ScheduledRequest): boolean {
      return entry.request.id !== id;
    }
  }

  cachedTokens(parts: readonly PrefixBlock[]): number {
    return this.prefixCache.knownTokens(parts);
  }

  pendingPrefillTokens(): number {
    let tokens = 0;
    for (const entry of this.active) tokens += entry.remainingPrefill;
    for (const { request } of this.waiting) tokens += request.promptTokens - this.cachedTokens(request.parts);
    return tokens;
  }

  running(): number {
    return this.active.length + this.waiting.length;
  }

  private usedTokens(): number {
    let tokens = 0;
    for (const { request, decodedTokens, remainingPrefill } of this.active)
      tokens += request.promptTokens - remainingPrefill + decodedTokens;
    return tokens;
  }

  private admit(): void {
    while (this.active.length < this.parameters.batch && this.waiting.length > 0) {
      const entry = this.waiting[0] as ScheduledRequest;
      const { promptTokens, outTokens } = entry.request;
      if (this.active.length > 0 && this.usedTokens() + promptTokens + outTokens > this.parameters.kvTokens) return;
      this.waiting.shift();
      const cached = Math.min(this.cachedTokens(entry.request.parts), promptTokens - 1);
      entry.cachedTokens = cached;
      entry.remainingPrefill = promptTokens - cached;
      this.counts.cached += cached;
      this.active.push(entry);
    }
  }

  private preemptForMemory(): void {
    while (this.active.length > 1 && this.usedTokens() > this.parameters.kvTokens) {
      let victim = this.active[0] as ScheduledRequest;
      for (const entry of this.active) if (isBefore(victim, entry)) victim = entry;
      this.active.splice(this.active.indexOf(victim), 1);
      this.counts.preemptions += 1;
      this.enqueue(victim);
    }
    this.prefixCache.shrinkTo(Math.max(0, this.parameters.kvTokens - this.usedTokens()));
  }

  /** Prefills a chunk of prompts, oldest first; returns the milliseconds that this takes. */
  private prefillChunk(): number {
    let remaining = this.parameters.chunkTokens;
    let pairs = 0;
    for (const entry of this.active) {
      if (remaining <= 0) break;
      const tokens = Math.min(remaining, entry.remainingPrefill);
      const before = entry.request.promptTokens - entry.remainingPrefill;
      pairs += tokens * (before + tokens / 2);
      entry.remainingPrefill -= tokens;
      remaining -= tokens;
    }
    const prefilled = this.parameters.chunkTokens - remaining;
    this.counts.read += prefilled;
    return prefilled / this.parameters.tokensPerMs + (pairs * this.parameters.attentionMsPerMillionPairs) / 1e6;
  }

  advance(now: number): { readonly until: number; readonly events: readonly EngineEvent[] } | null {
    this.admit();
    if (this.active.length === 0) return null;
    const decoding = this.active.filter(isDecoding);
    const prefillMs = this.prefillChunk();
    const stepMs =
      this.parameters.slowdown *
      (this.parameters.stepMs +
        this.parameters.stepMsPerRequest * this.active.length +
        (this.parameters.contextMsPerThousandTokens * this.usedTokens()) / 1_000 +
        prefillMs);
    const until = now + stepMs;
    const events: EngineEvent[] = [];
    for (const entry of decoding) this.decode(entry, until, events);
    for (const entry of this.active)
      if (entry.remainingPrefill === 0 && !entry.begun) this.onPrefilled(entry, until, events);
    this.active = this.active.filter(isUnfinished);
    this.preemptForMemory();
    return { until, events };
  }

  private onPrefilled(entry: ScheduledRequest, at: number, events: EngineEvent[]): void {
    entry.begun = true;
    entry.decodedTokens = Math.max(1, entry.decodedTokens);
    this.prefixCache.record(entry.request.parts);
    const { id, outTokens } = entry.request;
    events.push({ tag: 'begun', id, at, cachedTokens: entry.cachedTokens });
    if (entry.decodedTokens >= outTokens) events.push({ tag: 'end', id, at });
  }

  private decode(entry: ScheduledRequest, at: number, events: EngineEvent[]): void {
    entry.decodedTokens += 1;
    const { id, outTokens } = entry.request;
    if (entry.decodedTokens >= outTokens) events.push({ tag: 'end', id, at });
    else if (entry.decodedTokens % this.parameters.tokensPerEvent === 0) events.push({ tag: 'event', id, at });
  }
}

/** Creates an idle worker with an empty cache. */
export function createEngineWorker(parameters: EngineParameters): EngineWorker {
  return new BatchingEngineWorker(parameters);
}

function isBefore(left: ScheduledRequest, right: ScheduledRequest): boolean {
  return (
    left.request.urgency < right.request.urgency ||
    (left.request.urgency === right.request.urgency && left.order < right.order)
  );
}
function isDecoding(entry: ScheduledRequest): boolean {
  return entry.remainingPrefill === 0 && entry.begun;
}
function isUnfinished(entry: ScheduledRequest): boolean {
  return !entry.begun || entry.decodedTokens < entry.request.outTokens;
}
