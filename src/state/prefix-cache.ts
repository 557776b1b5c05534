/** What a worker is thought to hold of prompts, by size, the least lately used going first. */

/** A part of a prompt and its length in tokens. */
export type Part = { readonly id: string; readonly tokens: number };

/** Tells how many leading tokens are known, and notes what was run. */
export interface PrefixCache {
  known(parts: readonly Part[]): number;
  note(parts: readonly Part[]): void;
  clear(): void;
}

class LruPrefixCache implements PrefixCache {
  private readonly kept = new Map<string, number>();
  private sum = 0;

  constructor(private readonly most: number) {}

  known(parts: readonly Part[]): number {
    let n = 0;
    for (const p of parts) {
      if (!this.kept.has(p.id)) break;
      n += p.tokens;
    }
    return n;
  }

  note(parts: readonly Part[]): void {
    for (const p of parts) {
      const had = this.kept.get(p.id);
      if (had !== undefined) {
        this.kept.delete(p.id);
        this.sum -= had;
      }
      this.kept.set(p.id, p.tokens);
      this.sum += p.tokens;
    }
    for (const [id, tokens] of this.kept) {
      if (this.sum <= this.most) break;
      this.kept.delete(id);
      this.sum -= tokens;
    }
  }

  clear(): void {
    this.kept.clear();
    this.sum = 0;
  }
}

/** An empty cache that holds at most `most` tokens. */
export function createPrefixCache(most: number): PrefixCache {
  return new LruPrefixCache(most);
}
