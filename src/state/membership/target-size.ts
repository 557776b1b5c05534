/**
 * The number of members that the group of controllers is meant to have. At this size or below, a silent member keeps
 * its place: its disk counts if it comes back (docs/consistency.md, section 3).
 */
import { MAX_MEMBERS } from '../consensus/control-state.js';

/** With fewer members no loss is tolerated, so a group is not reduced below three, whatever it is meant to tolerate. */
const MIN_TARGET_SIZE = 3;

/** Returns the size of a group that keeps a majority while this many of its members are lost. */
export function targetGroupSize(toleratedLosses: number): number {
  return Math.min(MAX_MEMBERS, Math.max(MIN_TARGET_SIZE, 2 * Math.floor(toleratedLosses) + 1));
}

/** Returns how many losses a group of this many members tolerates. */
export function toleratedLossesOf(size: number): number {
  return Math.floor((size - 1) / 2);
}
