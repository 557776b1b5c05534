/**
 * What a stand-in worker's engine keeps of prompts in its memory: chains of parts, the least
 * lately used giving way. No running request is ever put back for it.
 */

/** Reads prompts and tells how much of each was not in memory. */
export type PrefixMemory = {
  /** Tokens to be read of a prompt; `prefix` is the header that names its parts. */
  readonly read: (prompt: number, prefix: string) => number;
  readonly inUse: () => number;
  readonly clear: () => void;
};

/** An empty memory of so many tokens. */
export function createPrefixMemory(kvTokens: number): PrefixMemory {
  const kept = new Map<string, number>();

  function inUse(): number {
    let sum = 0;
    for (const tokens of kept.values()) sum += tokens;
    return sum;
  }
  function giveWay(): void {
    let sum = inUse();
    for (const [oldest, tokens] of kept) {
      if (sum <= kvTokens) break;
      kept.delete(oldest);
      sum -= tokens;
    }
  }
  function read(prompt: number, prefix: string): number {
    let chain = '';
    let warm = true;
    let hits = 0;
    for (const part of prefix.split(',')) {
      const [hash = '', tokens = '0'] = part.split(':');
      if (hash === '') continue;
      chain += `>${hash}`;
      const was = kept.get(chain);
      kept.delete(chain);
      kept.set(chain, Number(tokens));
      if (warm && was !== undefined) hits += was;
      else warm = false;
    }
    giveWay();
    return Math.max(0, prompt - hits);
  }
  function clear(): void {
    kept.clear();
  }
  return { read, inUse, clear };
}
