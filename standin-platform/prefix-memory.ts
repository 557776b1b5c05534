/**
 * The prompt prefix cache of a stand-in worker's engine: chains of prompt parts with LRU eviction. A running request is
 * never preempted to free memory.
 */

/** Caches the parts of prompts and tells how much of each prompt was not cached. */
export type PrefixMemory = {
  /** Returns the tokens of a prompt that must be read; `prefix` is the header that names its parts. */
  readonly read: (prompt: number, prefix: string) => number;
  readonly tokensInUse: () => number;
  readonly clear: () => void;
};

/** Creates an empty cache with a capacity in tokens. */
export function createPrefixMemory(kvTokens: number): PrefixMemory {
  const chains = new Map<string, number>();

  function tokensInUse(): number {
    let sum = 0;
    for (const tokens of chains.values()) sum += tokens;
    return sum;
  }
  function evict(): void {
    let sum = tokensInUse();
    for (const [oldest, tokens] of chains) {
      if (sum <= kvTokens) break;
      chains.delete(oldest);
      sum -= tokens;
    }
  }
  function readPrompt(prompt: number, prefix: string): number {
    let chain = '';
    let isCached = true;
    let cachedTokens = 0;
    for (const part of prefix.split(',')) {
      const [hash = '', tokens = '0'] = part.split(':');
      if (hash === '') continue;
      chain += `>${hash}`;
      const known = chains.get(chain);
      chains.delete(chain);
      chains.set(chain, Number(tokens));
      if (isCached && known !== undefined) cachedTokens += known;
      else isCached = false;
    }
    evict();
    return Math.max(0, prompt - cachedTokens);
  }
  function clear(): void {
    chains.clear();
  }
  return { read: readPrompt, tokensInUse, clear };
}
