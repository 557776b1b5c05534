/**
 * Input of the scaler at one tick: workers, the cloud's machines, prices and request rates. A list that could not be
 * read is null, never empty, so that an unresponsive cloud or platform is not taken for the loss of its machines.
 */

import type { Rate } from './target.js';

/** A worker on the platform's list. */
export type ObservedWorker = {
  readonly id: string;
  readonly machine: string;
  readonly state: 'loading' | 'ready' | 'draining';
};

/** One of our machines in the cloud's list; `key` is the id of the order that it was rented for. */
export type ObservedMachine = {
  readonly id: string;
  readonly key: string;
  readonly zone: string;
  readonly state: 'starting' | 'running' | 'reclaiming' | 'gone';
};

/** Prices of a zone for each kind of machine. */
export type Price = { readonly spot: number; readonly onDemand: number };

/**
 * Input of one tick. The lists are at least as new as the log slot `asOfSlot`. `failedSpotZones` has the zones where a
 * spot launch failed for lack of capacity since the last tick, `knownMachines` the machines that the cloud has listed
 * before.
 */
export type ScalerObservation = {
  readonly now: number;
  readonly workers: readonly ObservedWorker[] | null;
  readonly machines: readonly ObservedMachine[] | null;
  readonly prices: Readonly<Record<string, Price>>;
  readonly rates: Readonly<Record<string, Rate | null>>;
  readonly deadMachines: ReadonlySet<string>;
  readonly failedSpotZones: readonly string[];
  readonly asOfSlot: number;
  readonly knownMachines: ReadonlySet<string>;
};
