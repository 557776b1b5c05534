/**
 * The worker that should keep a shared beginning of prompts, by rendezvous hashing: every proxy
 * names the same one without asking, and few beginnings move when workers come or go.
 */

import { hash32 } from '../../base/digest.js';
import type { EdgeTuning } from '../forwarding/edge-tuning.js';
import type { PrefixBlock } from './prefix-cache.js';
import type { RegistryRow } from './registry-row.js';

/**
 * The worker for a prompt's shared parts (all but its last) among those open to it, or null
 * where nothing is shared. Prompts with the same first part stay within a small group.
 */
export function homeAmong(
  open: readonly RegistryRow[],
  blocks: readonly PrefixBlock[],
  tuning: EdgeTuning,
): RegistryRow | null {
  const shared = blocks.length - 1;
  if (shared < 1) return null;
  const first = blocks[0] as PrefixBlock;
  if (shared === 1) return highest(open, first.id);
  const few = Math.max(tuning.spreadMinimum, Math.ceil(open.length * tuning.spreadFraction));
  const group = open.length <= few ? open : ranked(open, first.id).slice(0, few);
  return highest(group, (blocks[shared - 1] as PrefixBlock).id);
}

/** Tokens of a prompt's shared parts. */
export function sharedTokens(blocks: readonly PrefixBlock[]): number {
  let count = 0;
  for (let i = 0; i < blocks.length - 1; i += 1) count += (blocks[i] as PrefixBlock).tokens;
  return count;
}

type Ranked = { readonly hash: number; readonly row: RegistryRow };

function byHash(left: Ranked, right: Ranked): number {
  return right.hash - left.hash;
}
function ranked(rows: readonly RegistryRow[], key: string): RegistryRow[] {
  const all: Ranked[] = [];
  for (const row of rows) all.push({ hash: hash32(`${key}|${row.entry.id}`), row });
  return all.sort(byHash).map(rowOf);
}
function rowOf(ranked: Ranked): RegistryRow {
  return ranked.row;
}
function highest(rows: readonly RegistryRow[], key: string): RegistryRow | null {
  let top: RegistryRow | null = null;
  let high = -1;
  for (const row of rows) {
    const hash = hash32(`${key}|${row.entry.id}`);
    if (hash <= high) continue;
    high = hash;
    top = row;
  }
  return top;
}
