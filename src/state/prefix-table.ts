/**
 * Which workers lately ran which beginnings of prompts, for all models of a proxy. Bounded: the
 * least lately learned beginnings are forgotten, and each names at most four workers.
 */

import { LRUMap } from 'mnemonist';

/** Learns from runs; tells a worker's known parts and who holds the longest beginning; forgets a worker that lost its memory. */
export type PrefixTable = {
  readonly learn: (model: number, parts: readonly string[], worker: number) => void;
  readonly knownParts: (model: number, parts: readonly string[], worker: number) => number;
  readonly holders: (model: number, parts: readonly string[]) => readonly number[];
  readonly forget: (worker: number) => void;
};

const CHAINS = 65_536;
const HOLDERS = 4;

/** An empty table. */
export function createPrefixTable(): PrefixTable {
  const holders = new LRUMap<string, readonly number[]>(CHAINS);
  const life = new Map<number, number>();

  function chains(model: number, parts: readonly string[]): string[] {
    const out: string[] = [];
    let chain = String(model);
    for (const p of parts) {
      chain = `${chain}>${p}`;
      out.push(chain);
    }
    return out;
  }
  function tagged(worker: number): number {
    return worker * 65_536 + ((life.get(worker) ?? 0) % 65_536);
  }
  function learn(model: number, parts: readonly string[], worker: number): void {
    const me = tagged(worker);
    for (const chain of chains(model, parts)) {
      const kept: number[] = [me];
      for (const w of holders.peek(chain) ?? []) if (w !== me && kept.length < HOLDERS) kept.push(w);
      holders.set(chain, kept);
    }
  }
  function knownParts(model: number, parts: readonly string[], worker: number): number {
    const me = tagged(worker);
    const all = chains(model, parts);
    for (let n = all.length; n > 0; n -= 1) {
      if (holders.peek(all[n - 1] as string)?.includes(me)) return n;
    }
    return 0;
  }
  function forget(worker: number): void {
    life.set(worker, (life.get(worker) ?? 0) + 1);
  }
  function holdersOf(model: number, parts: readonly string[]): readonly number[] {
    const out = new Set<number>();
    const all = chains(model, parts);
    for (let n = all.length; n > 0 && out.size < HOLDERS; n -= 1) {
      for (const w of holders.peek(all[n - 1] as string) ?? [])
        if (tagged(Math.floor(w / 65_536)) === w) out.add(Math.floor(w / 65_536));
    }
    return [...out];
  }
  return { learn, knownParts, holders: holdersOf, forget };
}
