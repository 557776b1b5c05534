/**
 * Divides per-worker limits among the proxies: the requests to a cold worker and the reconnection attempts to an
 * unresponsive one. Where an equal share would be too small, only the owners of the worker send requests to it while it
 * is cold, and the owners reconnect more often than the others. Proxies in the region of the worker come first, then
 * those with the highest rendezvous hash, so that all proxies compute the same owners.
 */

import { hash32 } from '../../base/digest.js';
import type { RegistryRow, SharingProxy } from './registry-row.js';

/** Tracks the proxies that share the workers, and selects the owners of each worker. */
export interface WorkerOwners {
  /** Number of sharing proxies, including this one; at least 1. */
  sharingCount(): number;
  setSharingProxies(proxies: Readonly<Record<string, SharingProxy>>): void;
  /** Returns the names of at most `maxOwners` owners of a worker. */
  ownersOf(row: RegistryRow, maxOwners: number): readonly string[];
}

class RendezvousWorkerOwners implements WorkerOwners {
  private proxies: Readonly<Record<string, SharingProxy>> = {};
  private count = 1;

  sharingCount(): number {
    return this.count;
  }

  setSharingProxies(proxies: Readonly<Record<string, SharingProxy>>): void {
    this.proxies = { ...proxies };
    this.count = Math.max(1, Object.keys(proxies).length);
  }

  ownersOf(row: RegistryRow, maxOwners: number): readonly string[] {
    if (row.owners && row.owners.proxies === this.proxies && row.owners.maxOwners === maxOwners)
      return row.owners.names;
    const rankedProxies: { readonly name: string; readonly isNear: boolean; readonly hash: number }[] = [];
    for (const [name, proxy] of Object.entries(this.proxies))
      rankedProxies.push({ name, isNear: proxy.region === row.entry.region, hash: hash32(`${row.entry.id}|${name}`) });
    rankedProxies.sort(compareNearFirst);
    const names: string[] = [];
    for (const owner of rankedProxies.slice(0, maxOwners)) names.push(owner.name);
    row.owners = { proxies: this.proxies, maxOwners, names };
    return names;
  }
}

/** Assumes that no other proxy shares the workers until `setSharingProxies` is called. */
export function createWorkerOwners(): WorkerOwners {
  return new RendezvousWorkerOwners();
}

function compareNearFirst(
  left: { readonly isNear: boolean; readonly hash: number },
  right: { readonly isNear: boolean; readonly hash: number },
): number {
  return Number(right.isNear) - Number(left.isNear) || right.hash - left.hash;
}
