/**
 * Selects the home worker of a shared prompt prefix by rendezvous hashing. All proxies select the same worker without
 * coordination, and few prefixes move when workers join or leave.
 */

import { hash32 } from '../../base/digest.js';
import type { EdgeTuning } from '../forwarding/edge-tuning.js';
import type { PrefixBlock } from './prefix-cache.js';
import type { RegistryRow } from './registry-row.js';

/**
 * Returns the candidate that should cache the shared blocks of a prompt (all but its last), or null if no block is
 * shared. Prompts with the same first block stay within a small group of workers.
 */
export function selectHomeWorker(
  candidates: readonly RegistryRow[],
  blocks: readonly PrefixBlock[],
  tuning: EdgeTuning,
): RegistryRow | null {
  const sharedBlocks = blocks.length - 1;
  if (sharedBlocks < 1) return null;
  const first = blocks[0] as PrefixBlock;
  if (sharedBlocks === 1) return highestRanked(candidates, first.id);
  const groupSize = Math.max(tuning.spreadMinimum, Math.ceil(candidates.length * tuning.spreadFraction));
  const group = candidates.length <= groupSize ? candidates : rankByHash(candidates, first.id).slice(0, groupSize);
  return highestRanked(group, (blocks[sharedBlocks - 1] as PrefixBlock).id);
}

/** Returns the number of tokens in the shared blocks of a prompt. */
export function sharedTokens(blocks: readonly PrefixBlock[]): number {
  let tokens = 0;
  for (let i = 0; i < blocks.length - 1; i += 1) tokens += (blocks[i] as PrefixBlock).tokens;
  return tokens;
}

type RankedRow = { readonly hash: number; readonly row: RegistryRow };

function byHash(left: RankedRow, right: RankedRow): number {
  return right.hash - left.hash;
}
function rankByHash(rows: readonly RegistryRow[], key: string): RegistryRow[] {
  const ranked: RankedRow[] = [];
  for (const row of rows) ranked.push({ hash: hash32(`${key}|${row.entry.id}`), row });
  return ranked.sort(byHash).map(rowOf);
}
function rowOf(ranked: RankedRow): RegistryRow {
  return ranked.row;
}
function highestRanked(rows: readonly RegistryRow[], key: string): RegistryRow | null {
  let best: RegistryRow | null = null;
  let bestHash = -1;
  for (const row of rows) {
    const hash = hash32(`${key}|${row.entry.id}`);
    if (hash <= bestHash) continue;
    bestHash = hash;
    best = row;
  }
  return best;
}
