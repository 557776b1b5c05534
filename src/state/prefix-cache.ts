/** What a worker is thought to hold of prompts, by size, the least lately used going first. */

/** A part of a prompt and its length in tokens. */
export type Part = { readonly id: string; readonly tokens: number };

/** Tells how many leading tokens are known, and notes what was run. */
export type PrefixCache = {
  readonly known: (parts: readonly Part[]) => number;
  readonly note: (parts: readonly Part[]) => void;
  readonly clear: () => void;
};

/** An empty cache that holds at most `most` tokens. */
export function createPrefixCache(most: number): PrefixCache {
  const kept = new Map<string, number>();
  let sum = 0;

  function known(parts: readonly Part[]): number {
    let n = 0;
    for (const p of parts) {
      if (!kept.has(p.id)) break;
      n += p.tokens;
    }
    return n;
  }
  function note(parts: readonly Part[]): void {
    for (const p of parts) {
      const had = kept.get(p.id);
      if (had !== undefined) {
        kept.delete(p.id);
        sum -= had;
      }
      kept.set(p.id, p.tokens);
      sum += p.tokens;
    }
    for (const [id, tokens] of kept) {
      if (sum <= most) break;
      kept.delete(id);
      sum -= tokens;
    }
  }
  function clear(): void {
    kept.clear();
    sum = 0;
  }
  return { known, note, clear };
}
