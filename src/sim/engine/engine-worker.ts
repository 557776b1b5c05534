/**
 * A model of a worker that serves a language model in batches: prompts are read in chunks between the
 * decode steps of the others, running requests and kept prompt parts share the KV memory, the least
 * lately used parts give way first, and the newest of the least urgent requests is put back when memory
 * runs out. One call of `advance` plays one step. Pure: time is given in and told back.
 */

import { createPrefixCache } from '../../state/discovery/prefix-cache.js';
import type { PrefixBlock, PrefixCache } from '../../state/discovery/prefix-cache.js';

/** Figures of a worker's engine. `slowness` multiplies the length of every step. */
export type EngineFigures = {
  readonly batch: number;
  readonly kvTokens: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly contextMsPerThousand: number;
  readonly tokensPerMs: number;
  /** Attention: milliseconds for a million pairs of a token that is read and one before it. */
  readonly pairsMsPerMillion: number;
  readonly chunkTokens: number;
  readonly stride: number;
  readonly slowness: number;
};

/** A request at a worker. `urgency` 0 is the most urgent. */
export type EngineRequest = {
  readonly id: number;
  readonly parts: readonly PrefixBlock[];
  readonly promptTokens: number;
  readonly outTokens: number;
  readonly urgency: number;
};

/** What happened in a step: a request's prompt was read, an event of its stream was full, or it ended. */
export type EngineEvent =
  | { readonly tag: 'begun'; readonly id: number; readonly at: number; readonly keptTokens: number }
  | { readonly tag: 'event'; readonly id: number; readonly at: number }
  | { readonly tag: 'end'; readonly id: number; readonly at: number };

/** Counts of prompt tokens since the worker began. */
export type EngineCounts = { read: number; kept: number; putBack: number };

type RunningRequest = {
  readonly request: EngineRequest;
  readonly order: number;
  toRead: number;
  kept: number;
  made: number;
  begun: boolean;
};

/** One worker of the model. */
export interface EngineWorker {
  readonly counts: EngineCounts;
  add(request: EngineRequest): void;
  remove(id: number): void;
  /** Plays one step from `now`; null when there is nothing to do. */
  advance(now: number): { readonly until: number; readonly events: readonly EngineEvent[] } | null;
  /** Tokens of prompts that are still to be read. */
  unreadTokens(): number;
  running(): number;
  keptTokens(parts: readonly PrefixBlock[]): number;
}

class BatchingEngineWorker implements EngineWorker {
  readonly counts: EngineCounts = { read: 0, kept: 0, putBack: 0 };
  private waiting: RunningRequest[] = [];
  private active: RunningRequest[] = [];
  private readonly kept: PrefixCache;
  private orders = 0;

  constructor(private readonly figures: EngineFigures) {
    this.kept = createPrefixCache(figures.kvTokens);
  }

  add(request: EngineRequest): void {
    this.orders += 1;
    this.enqueue({ request, order: this.orders, toRead: 0, kept: 0, made: 0, begun: false });
  }

  private enqueue(entry: RunningRequest): void {
    let at = this.waiting.length;
    while (at > 0 && isBefore(entry, this.waiting[at - 1] as RunningRequest)) at -= 1;
    this.waiting.splice(at, 0, entry);
  }

  remove(id: number): void {
    this.waiting = this.waiting.filter(isOther);
    this.active = this.active.filter(isOther);
    function isOther(entry: RunningRequest): boolean {
      return entry.request.id !== id;
    }
  }

  keptTokens(parts: readonly PrefixBlock[]): number {
    return this.kept.knownTokens(parts);
  }

  unreadTokens(): number {
    let tokens = 0;
    for (const entry of this.active) tokens += entry.toRead;
    for (const { request } of this.waiting) tokens += request.promptTokens - this.keptTokens(request.parts);
    return tokens;
  }

  running(): number {
    return this.active.length + this.waiting.length;
  }

  private usedTokens(): number {
    let tokens = 0;
    for (const { request, made, toRead } of this.active) tokens += request.promptTokens - toRead + made;
    return tokens;
  }

  private admit(): void {
    while (this.active.length < this.figures.batch && this.waiting.length > 0) {
      const entry = this.waiting[0] as RunningRequest;
      const { promptTokens, outTokens } = entry.request;
      if (this.active.length > 0 && this.usedTokens() + promptTokens + outTokens > this.figures.kvTokens) return;
      this.waiting.shift();
      const kept = Math.min(this.keptTokens(entry.request.parts), promptTokens - 1);
      entry.kept = kept;
      entry.toRead = promptTokens - kept;
      this.counts.kept += kept;
      this.active.push(entry);
    }
  }

  private makeRoom(): void {
    while (this.active.length > 1 && this.usedTokens() > this.figures.kvTokens) {
      let victim = this.active[0] as RunningRequest;
      for (const entry of this.active) if (isBefore(victim, entry)) victim = entry;
      this.active.splice(this.active.indexOf(victim), 1);
      this.counts.putBack += 1;
      this.enqueue(victim);
    }
    this.kept.shrinkTo(Math.max(0, this.figures.kvTokens - this.usedTokens()));
  }

  /** Reads a chunk of prompts, oldest first; returns the milliseconds that this takes. */
  private readChunk(): number {
    let left = this.figures.chunkTokens;
    let pairs = 0;
    for (const entry of this.active) {
      if (left <= 0) break;
      const tokens = Math.min(left, entry.toRead);
      const before = entry.request.promptTokens - entry.toRead;
      pairs += tokens * (before + tokens / 2);
      entry.toRead -= tokens;
      left -= tokens;
    }
    const read = this.figures.chunkTokens - left;
    this.counts.read += read;
    return read / this.figures.tokensPerMs + (pairs * this.figures.pairsMsPerMillion) / 1e6;
  }

  advance(now: number): { readonly until: number; readonly events: readonly EngineEvent[] } | null {
    this.admit();
    if (this.active.length === 0) return null;
    const decoding = this.active.filter(isDecoding);
    const readMs = this.readChunk();
    const ms =
      this.figures.slowness *
      (this.figures.stepMs +
        this.figures.stepMsPerRequest * this.active.length +
        (this.figures.contextMsPerThousand * this.usedTokens()) / 1_000 +
        readMs);
    const until = now + ms;
    const events: EngineEvent[] = [];
    for (const entry of decoding) this.decode(entry, until, events);
    for (const entry of this.active) if (entry.toRead === 0 && !entry.begun) this.begin(entry, until, events);
    this.active = this.active.filter(isUnfinished);
    this.makeRoom();
    return { until, events };
  }

  private begin(entry: RunningRequest, at: number, events: EngineEvent[]): void {
    entry.begun = true;
    entry.made = Math.max(1, entry.made);
    this.kept.record(entry.request.parts);
    const { id, outTokens } = entry.request;
    events.push({ tag: 'begun', id, at, keptTokens: entry.kept });
    if (entry.made >= outTokens) events.push({ tag: 'end', id, at });
  }

  private decode(entry: RunningRequest, at: number, events: EngineEvent[]): void {
    entry.made += 1;
    const { id, outTokens } = entry.request;
    if (entry.made >= outTokens) events.push({ tag: 'end', id, at });
    else if (entry.made % this.figures.stride === 0) events.push({ tag: 'event', id, at });
  }
}

/** An idle worker with nothing kept. */
export function createEngineWorker(figures: EngineFigures): EngineWorker {
  return new BatchingEngineWorker(figures);
}

function isBefore(left: RunningRequest, right: RunningRequest): boolean {
  return (
    left.request.urgency < right.request.urgency ||
    (left.request.urgency === right.request.urgency && left.order < right.order)
  );
}
function isDecoding(entry: RunningRequest): boolean {
  return entry.toRead === 0 && entry.begun;
}
function isUnfinished(entry: RunningRequest): boolean {
  return !entry.begun || entry.made < entry.request.outTokens;
}
