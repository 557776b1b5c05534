/**
 * Keeps the order in which an operator listed routes and models through the agreed state,
 * whose tables have none: each item bears a number. Numbers are given with gaps, so that an
 * insertion changes few of them.
 */

import type { Serving } from './serving.js';

type Placed = { readonly at: number };

const GAP = 1_024;

function byPlace(a: readonly [string, Placed], b: readonly [string, Placed]): number {
  return a[1].at - b[1].at;
}

function placed<T extends Placed>(
  before: Readonly<Record<string, T>>,
  after: Readonly<Record<string, T>>,
): Record<string, T> {
  const out: Record<string, T> = {};
  let end = 0;
  for (const item of Object.values(before)) end = Math.max(end, item.at);
  let last = 0;
  for (const [name, item] of Object.entries(after).sort(byPlace)) {
    const old = Object.hasOwn(before, name) ? (before[name] as T).at : 0;
    if (old > last) last = old;
    else last += last >= end ? GAP : 1;
    out[name] = { ...item, at: last };
  }
  return out;
}

/** The new configuration with the numbers of the old one wherever their order still holds. */
export function withKeptOrder(before: Serving, after: Serving): Serving {
  return { ...after, mappings: placed(before.mappings, after.mappings), models: placed(before.models, after.models) };
}
