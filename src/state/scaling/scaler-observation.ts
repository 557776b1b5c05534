/**
 * What the scaler sees when it takes a turn: the list of workers, the cloud's machines, prices and
 * rates. What could not be read is null, never empty, so that silence is not taken for loss.
 */

import type { Rate } from './target.js';

/** A worker on the platform's list. */
export type ObservedWorker = {
  readonly id: string;
  readonly machine: string;
  readonly state: 'loading' | 'ready' | 'draining';
};

/** A machine of ours in the cloud's list; `key` is the order that it was rented for. */
export type ObservedMachine = {
  readonly id: string;
  readonly key: string;
  readonly zone: string;
  readonly state: 'starting' | 'running' | 'reclaiming' | 'gone';
};

/** Prices of a zone by kind of machine. */
export type Price = { readonly spot: number; readonly onDemand: number };

/** One look. `asOf` is the slot that the lists are not older than; `seenBefore` names machines that the cloud has listed before. */
export type ScalerObservation = {
  readonly now: number;
  readonly workers: readonly ObservedWorker[] | null;
  readonly machines: readonly ObservedMachine[] | null;
  readonly prices: Readonly<Record<string, Price>>;
  readonly rates: Readonly<Record<string, Rate | null>>;
  readonly deadMachines: ReadonlySet<string>;
  readonly failedIn: readonly string[];
  readonly asOf: number;
  readonly knownMachines: ReadonlySet<string>;
};
