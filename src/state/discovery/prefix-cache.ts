/** Estimate of the prompt blocks in a worker's prefix cache, bounded by tokens, with LRU eviction. */

/** A block of a prompt and its length in tokens. */
export type PrefixBlock = { readonly id: string; readonly tokens: number };

/** Returns how many leading tokens of a prompt are cached, and records the blocks of runs. */
export interface PrefixCache {
  known(blocks: readonly PrefixBlock[]): number;
  record(blocks: readonly PrefixBlock[]): void;
  /** Evicts the least recently used blocks until at most `maxTokens` tokens remain. */
  shrinkTo(maxTokens: number): void;
  clear(): void;
}

class LruPrefixCache implements PrefixCache {
  private readonly tokensById = new Map<string, number>();
  private totalTokens = 0;

  constructor(private readonly maxTokens: number) {}

  known(blocks: readonly PrefixBlock[]): number {
    let tokens = 0;
    for (const block of blocks) {
      if (!this.tokensById.has(block.id)) break;
      tokens += block.tokens;
    }
    return tokens;
  }

  record(blocks: readonly PrefixBlock[]): void {
    for (const block of blocks) {
      const previousTokens = this.tokensById.get(block.id);
      if (previousTokens !== undefined) {
        this.tokensById.delete(block.id);
        this.totalTokens -= previousTokens;
      }
      this.tokensById.set(block.id, block.tokens);
      this.totalTokens += block.tokens;
    }
    this.shrinkTo(this.maxTokens);
  }

  shrinkTo(maxTokens: number): void {
    for (const [id, tokens] of this.tokensById) {
      if (this.totalTokens <= maxTokens) break;
      this.tokensById.delete(id);
      this.totalTokens -= tokens;
    }
  }

  clear(): void {
    this.tokensById.clear();
    this.totalTokens = 0;
  }
}

/** Creates an empty cache that holds at most `maxTokens` tokens. */
export function createPrefixCache(maxTokens: number): PrefixCache {
  return new LruPrefixCache(maxTokens);
}
