/**
 * What the holder of the scaler's duty remembers between turns. Not agreed and lost with the holder:
 * a new one waits anew, which delays orders but never doubles them.
 */

import type { Kind } from '../consensus/entry.js';
import type { PendingChange } from './target.js';

/** For one model: the change of its target under way, zones at rest, and since when each order has its machine. */
export type ModelMemory = {
  pendingChange: PendingChange | null;
  readonly retryDelay: Map<string, RetryDelay>;
  readonly placedSince: Map<string, number>;
};
/** Until when a zone rests after a failed launch, and for how long it was sent to rest. */
export type RetryDelay = { readonly until: number; readonly ms: number };
/** The memory of each model, by name. */
export type ScalerMemory = Map<string, ModelMemory>;

const REST_FIRST_MS = 2_000;
const REST_MOST_MS = 60_000;

/** The memory of a model; an empty one at first. */
export function memoryOf(memory: ScalerMemory, model: string): ModelMemory {
  const have = memory.get(model);
  if (have) return have;
  const made: ModelMemory = { pendingChange: null, retryDelay: new Map(), placedSince: new Map() };
  memory.set(model, made);
  return made;
}

/** Lets a zone rest for this kind of machine, each time twice as long, up to a minute. */
export function recordLaunchFailed(memory: ScalerMemory, model: string, kind: Kind, zone: string, now: number): void {
  const { retryDelay: delay } = memoryOf(memory, model);
  const key = `${kind} ${zone}`;
  const before = delay.get(key);
  const ms = before ? Math.min(REST_MOST_MS, before.ms * 2) : REST_FIRST_MS;
  delay.set(key, { until: now + ms, ms });
}

/** Ends the rest of a zone. */
export function recordLaunchSucceeded(memory: ScalerMemory, model: string, kind: Kind, zone: string): void {
  memoryOf(memory, model).retryDelay.delete(`${kind} ${zone}`);
}
