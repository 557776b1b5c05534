/** Draws prompts of a kind of request: one shared part of each level, followed by a part of its own. */

import type { PrefixBlock } from '../../state/discovery/prefix-cache.js';
import type { Rng } from '../../transport/rng.js';
import type { DrawnSize, RequestKind } from './deployment.js';

/** Draws the prompts of one kind of request. */
export interface PromptSource {
  /** Returns the parts of the next prompt; `id` identifies its own part. */
  next(id: number): PrefixBlock[];
}

const SHARED_SIGMA = 0.5;
const SHARED_MAX_RATIO = 3;
/** Above 1, the first subjects are requested more often than the last. */
const POPULARITY_SKEW = 1.3;

class SharedPromptSource implements PromptSource {
  private readonly levels: PrefixBlock[][] = [];

  constructor(
    private readonly kind: RequestKind,
    private readonly rng: Rng,
  ) {
    kind.shared.forEach(({ count, meanTokens }, depth) => {
      const size = { mean: meanTokens, spread: SHARED_SIGMA, most: meanTokens * SHARED_MAX_RATIO };
      const blocks: PrefixBlock[] = [];
      for (let i = 0; i < count; i += 1)
        blocks.push({ id: `${kind.name}-${depth}-${i}`, tokens: drawnSize(rng, size) });
      this.levels.push(blocks);
    });
  }

  next(id: number): PrefixBlock[] {
    const deepest = this.levels[this.levels.length - 1] ?? [];
    const subject = Math.floor(this.rng.next() ** POPULARITY_SKEW * deepest.length);
    const parts: PrefixBlock[] = [];
    for (const blocks of this.levels) parts.push(blocks[subject % blocks.length] as PrefixBlock);
    parts.push({ id: `own-${id}`, tokens: drawnSize(this.rng, this.kind.ownTokens) });
    return parts;
  }
}

/** Creates a source; the sizes of its shared parts are drawn immediately. */
export function createPromptSource(kind: RequestKind, rng: Rng): PromptSource {
  return new SharedPromptSource(kind, rng);
}

/** Draws a log-normal size, at least 1 and at most `size.most`. */
export function drawnSize(rng: Rng, size: DrawnSize): number {
  const normal = Math.sqrt(-2 * Math.log(1 - rng.next())) * Math.cos(2 * Math.PI * rng.next());
  const value = size.mean * Math.exp(size.spread * normal - size.spread ** 2 / 2);
  return Math.max(1, Math.round(Math.min(size.most, value)));
}
