/**
 * Records which workers recently ran which prompt prefixes, for all models of a proxy. The table is bounded: the least
 * recently recorded prefixes are evicted, and each prefix has at most four workers.
 */

import { LRUMap } from 'mnemonist';

/**
 * Records runs. `knownBlocks` returns how many leading blocks a worker probably has cached, `holders` the workers with
 * the longest matching prefix first. `forget` drops the records of a worker whose cache was lost.
 */
export interface PrefixTable {
  recordRun(model: number, blocks: readonly string[], worker: number): void;
  knownBlocks(model: number, blocks: readonly string[], worker: number): number;
  holders(model: number, blocks: readonly string[]): readonly number[];
  forget(worker: number): void;
}

const MAX_PREFIXES = 65_536;
const MAX_HOLDERS = 4;

class LruPrefixTable implements PrefixTable {
  private readonly holdersByPrefix = new LRUMap<string, readonly number[]>(MAX_PREFIXES);
  private readonly generations = new Map<number, number>();

  private prefixKeys(model: number, blocks: readonly string[]): string[] {
    const keys: string[] = [];
    let key = String(model);
    for (const block of blocks) {
      key = `${key}>${block}`;
      keys.push(key);
    }
    return keys;
  }

  /** Combines the index of a worker with its number of resets, so that `forget` invalidates its earlier records. */
  private withGeneration(worker: number): number {
    return worker * 65_536 + ((this.generations.get(worker) ?? 0) % 65_536);
  }

  recordRun(model: number, blocks: readonly string[], worker: number): void {
    const taggedWorker = this.withGeneration(worker);
    for (const key of this.prefixKeys(model, blocks)) {
      const holders: number[] = [taggedWorker];
      for (const holder of this.holdersByPrefix.peek(key) ?? [])
        if (holder !== taggedWorker && holders.length < MAX_HOLDERS) holders.push(holder);
      this.holdersByPrefix.set(key, holders);
    }
  }

  knownBlocks(model: number, blocks: readonly string[], worker: number): number {
    const taggedWorker = this.withGeneration(worker);
    const keys = this.prefixKeys(model, blocks);
    for (let count = keys.length; count > 0; count -= 1) {
      if (this.holdersByPrefix.peek(keys[count - 1] as string)?.includes(taggedWorker)) return count;
    }
    return 0;
  }

  forget(worker: number): void {
    this.generations.set(worker, (this.generations.get(worker) ?? 0) + 1);
  }

  holders(model: number, blocks: readonly string[]): readonly number[] {
    const workers = new Set<number>();
    const keys = this.prefixKeys(model, blocks);
    for (let count = keys.length; count > 0 && workers.size < MAX_HOLDERS; count -= 1) {
      for (const holder of this.holdersByPrefix.peek(keys[count - 1] as string) ?? [])
        if (this.withGeneration(Math.floor(holder / 65_536)) === holder) workers.add(Math.floor(holder / 65_536));
    }
    return [...workers];
  }
}

/** Creates an empty table. */
export function createPrefixTable(): PrefixTable {
  return new LruPrefixTable();
}
