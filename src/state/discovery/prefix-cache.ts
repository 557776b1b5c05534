/** What a worker is thought to hold of prompts, by size, the least lately used going first. */

/** A part of a prompt and its length in tokens. */
export type PrefixBlock = { readonly id: string; readonly tokens: number };

/** Tells how many leading tokens are known, and notes what was run. */
export interface PrefixCache {
  known(blocks: readonly PrefixBlock[]): number;
  record(blocks: readonly PrefixBlock[]): void;
  /** Forgets the least lately used parts until at most so many tokens are left. */
  shrinkTo(tokens: number): void;
  clear(): void;
}

class LruPrefixCache implements PrefixCache {
  private readonly tokensById = new Map<string, number>();
  private sum = 0;

  constructor(private readonly most: number) {}

  known(blocks: readonly PrefixBlock[]): number {
    let count = 0;
    for (const prefixBlock of blocks) {
      if (!this.tokensById.has(prefixBlock.id)) break;
      count += prefixBlock.tokens;
    }
    return count;
  }

  record(blocks: readonly PrefixBlock[]): void {
    for (const prefixBlock of blocks) {
      const had = this.tokensById.get(prefixBlock.id);
      if (had !== undefined) {
        this.tokensById.delete(prefixBlock.id);
        this.sum -= had;
      }
      this.tokensById.set(prefixBlock.id, prefixBlock.tokens);
      this.sum += prefixBlock.tokens;
    }
    this.shrinkTo(this.most);
  }

  shrinkTo(most: number): void {
    for (const [id, tokens] of this.tokensById) {
      if (this.sum <= most) break;
      this.tokensById.delete(id);
      this.sum -= tokens;
    }
  }

  clear(): void {
    this.tokensById.clear();
    this.sum = 0;
  }
}

/** An empty cache that holds at most `most` tokens. */
export function createPrefixCache(most: number): PrefixCache {
  return new LruPrefixCache(most);
}
