/**
 * Preserves the order in which an operator listed routes and models. The objects of the replicated state have no order,
 * so each item carries a position number (`at`). Positions at the end are assigned with gaps, so that an insertion
 * changes few of them.
 */

import type { Serving } from './serving.js';
import { ownValue, setOwnValue } from '../../base/own-value.js';

type Positioned = { readonly at: number };

const POSITION_GAP = 1_024;

function comparePositions(left: readonly [string, Positioned], right: readonly [string, Positioned]): number {
  return left[1].at - right[1].at;
}

function assignPositions<T extends Positioned>(
  before: Readonly<Record<string, T>>,
  after: Readonly<Record<string, T>>,
): Record<string, T> {
  const renumbered: Record<string, T> = {};
  let highestPosition = 0;
  for (const item of Object.values(before)) highestPosition = Math.max(highestPosition, item.at);
  let lastPosition = 0;
  for (const [name, item] of Object.entries(after).sort(comparePositions)) {
    const oldPosition = Object.hasOwn(before, name) ? (ownValue(before, name) as T).at : 0;
    if (oldPosition > lastPosition) lastPosition = oldPosition;
    else lastPosition += lastPosition >= highestPosition ? POSITION_GAP : 1;
    setOwnValue(renumbered, name, { ...item, at: lastPosition });
  }
  return renumbered;
}

/** Returns `after` with the positions of `before` wherever these still give the order of `after`. */
export function withPreservedOrder(before: Serving, after: Serving): Serving {
  return {
    ...after,
    mappings: assignPositions(before.mappings, after.mappings),
    models: assignPositions(before.models, after.models),
  };
}
