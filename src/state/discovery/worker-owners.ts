/**
 * How the proxies share what a worker bears of them together: its cold starts and probes while
 * it is silent. Where a share for each would be too small, only the owners have one: the
 * proxies nearest to the worker, then by rendezvous hashing, the same ones on every proxy.
 */

import { hash32 } from '../../base/digest.js';
import type { RegistryRow, SharingProxy } from './registry-row.js';

/** Knows the proxies that share, and names the owners of a worker. */
export interface WorkerOwners {
  /** How many proxies share, this one included; at least 1. */
  sharingCount(): number;
  setSharingProxies(known: Readonly<Record<string, SharingProxy>>): void;
  /** Names of at most `most` owners of a worker. */
  ownersOf(row: RegistryRow, most: number): readonly string[];
}

class RendezvousWorkerOwners implements WorkerOwners {
  private proxies: Readonly<Record<string, SharingProxy>> = {};
  private count = 1;

  sharingCount(): number {
    return this.count;
  }

  setSharingProxies(known: Readonly<Record<string, SharingProxy>>): void {
    this.proxies = { ...known };
    this.count = Math.max(1, Object.keys(known).length);
  }

  ownersOf(row: RegistryRow, most: number): readonly string[] {
    if (row.owners && row.owners.proxies === this.proxies && row.owners.most === most) return row.owners.names;
    const ranks: { readonly name: string; readonly near: boolean; readonly hash: number }[] = [];
    for (const [name, sharingProxy] of Object.entries(this.proxies))
      ranks.push({ name, near: sharingProxy.region === row.entry.region, hash: hash32(`${row.entry.id}|${name}`) });
    ranks.sort(nearFirst);
    const names: string[] = [];
    for (const rank of ranks.slice(0, most)) names.push(rank.name);
    row.owners = { proxies: this.proxies, most, names };
    return names;
  }
}

/** Shares with nobody until told. */
export function createWorkerOwners(): WorkerOwners {
  return new RendezvousWorkerOwners();
}

function nearFirst(
  left: { readonly near: boolean; readonly hash: number },
  right: { readonly near: boolean; readonly hash: number },
): number {
  return Number(right.near) - Number(left.near) || right.hash - left.hash;
}
