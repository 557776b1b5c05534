/** Draws prompts of a kind of request: parts that many share, level by level, and one of its own. */

import type { PrefixBlock } from '../../state/discovery/prefix-cache.js';
import type { Rng } from '../../transport/rng.js';
import type { DrawnSize, RequestKind } from './deployment.js';

/** Draws the prompts of one kind. */
export interface PromptSource {
  /** The parts of the next prompt; `id` tells its own part from others'. */
  next(id: number): PrefixBlock[];
}

const SHARED_SPREAD = 0.5;
const SHARED_MOST = 3;
/** Above 1 the first subjects are asked for more often than the last. */
const SKEW = 1.3;

class SharedPromptSource implements PromptSource {
  private readonly levels: PrefixBlock[][] = [];

  constructor(
    private readonly kind: RequestKind,
    private readonly rng: Rng,
  ) {
    kind.shared.forEach(({ count, meanTokens }, depth) => {
      const size = { mean: meanTokens, spread: SHARED_SPREAD, most: meanTokens * SHARED_MOST };
      const blocks: PrefixBlock[] = [];
      for (let i = 0; i < count; i += 1)
        blocks.push({ id: `${kind.name}-${depth}-${i}`, tokens: drawnSize(rng, size) });
      this.levels.push(blocks);
    });
  }

  next(id: number): PrefixBlock[] {
    const last = this.levels[this.levels.length - 1] ?? [];
    const subject = Math.floor(this.rng.next() ** SKEW * last.length);
    const parts: PrefixBlock[] = [];
    for (const blocks of this.levels) parts.push(blocks[subject % blocks.length] as PrefixBlock);
    parts.push({ id: `own-${id}`, tokens: drawnSize(this.rng, this.kind.ownTokens) });
    return parts;
  }
}

/** A source whose shared parts are drawn now. */
export function createPromptSource(kind: RequestKind, rng: Rng): PromptSource {
  return new SharedPromptSource(kind, rng);
}

/** A log-normal size, at least 1. */
export function drawnSize(rng: Rng, size: DrawnSize): number {
  const normal = Math.sqrt(-2 * Math.log(1 - rng.next())) * Math.cos(2 * Math.PI * rng.next());
  const value = size.mean * Math.exp(size.spread * normal - size.spread ** 2 / 2);
  return Math.max(1, Math.round(Math.min(size.most, value)));
}
