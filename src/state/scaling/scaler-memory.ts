/**
 * State that the holder of the scaler's role keeps between ticks. It is not replicated and is lost with the holder. A
 * new holder restarts all waiting times, which may delay orders but never duplicates them.
 */

import type { MachineKind } from '../consensus/entry.js';
import type { PendingChange } from './target.js';

/** State of one model: the pending change of its target, delays of zones, and since when each order has its machine. */
export type ModelMemory = {
  pendingChange: PendingChange | null;
  readonly retryDelay: Map<string, RetryDelay>;
  readonly placedSince: Map<string, number>;
};
/** Until when a zone gets no orders after a failed launch, and the length of that delay. */
export type RetryDelay = { readonly until: number; readonly ms: number };
/** The state of each model, by its name. */
export type ScalerMemory = Map<string, ModelMemory>;

const INITIAL_RETRY_DELAY_MS = 2_000;
const MAX_RETRY_DELAY_MS = 60_000;

/** Returns the state of a model; creates an empty one if there is none. */
export function memoryOf(memory: ScalerMemory, model: string): ModelMemory {
  const existing = memory.get(model);
  if (existing) return existing;
  const created: ModelMemory = { pendingChange: null, retryDelay: new Map(), placedSince: new Map() };
  memory.set(model, created);
  return created;
}

/** Delays further orders of this kind in the zone. The delay doubles with each failure, up to a minute. */
export function recordLaunchFailed(
  memory: ScalerMemory,
  model: string,
  kind: MachineKind,
  zone: string,
  now: number,
): void {
  const { retryDelay: delays } = memoryOf(memory, model);
  const key = `${kind} ${zone}`;
  const previous = delays.get(key);
  const ms = previous ? Math.min(MAX_RETRY_DELAY_MS, previous.ms * 2) : INITIAL_RETRY_DELAY_MS;
  delays.set(key, { until: now + ms, ms });
}

/** Ends the delay for this kind of machine in the zone. */
export function recordLaunchSucceeded(memory: ScalerMemory, model: string, kind: MachineKind, zone: string): void {
  memoryOf(memory, model).retryDelay.delete(`${kind} ${zone}`);
}
