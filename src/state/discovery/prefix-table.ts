/**
 * Which workers lately ran which beginnings of prompts, for all models of a proxy. Bounded: the
 * least lately learned beginnings are forgotten, and each names at most four workers.
 */

import { LRUMap } from 'mnemonist';

/** Learns from runs; tells a worker's known parts and who holds the longest beginning; forgets a worker that lost its memory. */
export interface PrefixTable {
  learn(model: number, blocks: readonly string[], worker: number): void;
  knownBlocks(model: number, blocks: readonly string[], worker: number): number;
  holders(model: number, blocks: readonly string[]): readonly number[];
  forget(worker: number): void;
}

const CHAINS = 65_536;
const HOLDERS = 4;

class LruPrefixTable implements PrefixTable {
  private readonly currentHolders = new LRUMap<string, readonly number[]>(CHAINS);
  private readonly generations = new Map<number, number>();

  private chains(model: number, blocks: readonly string[]): string[] {
    const out: string[] = [];
    let chain = String(model);
    for (const path of blocks) {
      chain = `${chain}>${path}`;
      out.push(chain);
    }
    return out;
  }

  private tagged(worker: number): number {
    return worker * 65_536 + ((this.generations.get(worker) ?? 0) % 65_536);
  }

  learn(model: number, blocks: readonly string[], worker: number): void {
    const tagged = this.tagged(worker);
    for (const chain of this.chains(model, blocks)) {
      const holders: number[] = [tagged];
      for (const worker of this.currentHolders.peek(chain) ?? [])
        if (worker !== tagged && holders.length < HOLDERS) holders.push(worker);
      this.currentHolders.set(chain, holders);
    }
  }

  knownBlocks(model: number, blocks: readonly string[], worker: number): number {
    const tagged = this.tagged(worker);
    const all = this.chains(model, blocks);
    for (let count = all.length; count > 0; count -= 1) {
      if (this.currentHolders.peek(all[count - 1] as string)?.includes(tagged)) return count;
    }
    return 0;
  }

  forget(worker: number): void {
    this.generations.set(worker, (this.generations.get(worker) ?? 0) + 1);
  }

  holders(model: number, blocks: readonly string[]): readonly number[] {
    const out = new Set<number>();
    const all = this.chains(model, blocks);
    for (let count = all.length; count > 0 && out.size < HOLDERS; count -= 1) {
      for (const worker of this.currentHolders.peek(all[count - 1] as string) ?? [])
        if (this.tagged(Math.floor(worker / 65_536)) === worker) out.add(Math.floor(worker / 65_536));
    }
    return [...out];
  }
}

/** An empty table. */
export function createPrefixTable(): PrefixTable {
  return new LruPrefixTable();
}
