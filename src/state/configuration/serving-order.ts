/**
 * Keeps the order in which an operator listed routes and models through the agreed state,
 * whose tables have none: each item bears a number. Numbers are given with gaps, so that an
 * insertion changes few of them.
 */

import type { Serving } from './serving.js';

type Positioned = { readonly at: number };

const GAP = 1_024;

function byPosition(left: readonly [string, Positioned], right: readonly [string, Positioned]): number {
  return left[1].at - right[1].at;
}

function positioned<T extends Positioned>(
  before: Readonly<Record<string, T>>,
  after: Readonly<Record<string, T>>,
): Record<string, T> {
  const out: Record<string, T> = {};
  let end = 0;
  for (const item of Object.values(before)) end = Math.max(end, item.at);
  let last = 0;
  for (const [name, item] of Object.entries(after).sort(byPosition)) {
    const old = Object.hasOwn(before, name) ? (before[name] as T).at : 0;
    if (old > last) last = old;
    else last += last >= end ? GAP : 1;
    out[name] = { ...item, at: last };
  }
  return out;
}

/** The new configuration with the numbers of the old one wherever their order still holds. */
export function withPreservedOrder(before: Serving, after: Serving): Serving {
  return {
    ...after,
    mappings: positioned(before.mappings, after.mappings),
    models: positioned(before.models, after.models),
  };
}
