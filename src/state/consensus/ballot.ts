/**
 * Ballot numbers of the agreement: ordered by round, then by the proposer's name, so that no
 * two proposers ever share one.
 */

/** A ballot: its round, and the proposer it belongs to. */
export type Ballot = { readonly round: number; readonly by: string };

/** Lower than every ballot of a proposer. */
export const NO_BALLOT: Ballot = { round: 0, by: '' };

/** Below, at or above 0 as `a` is lower than, equal to or higher than `b`. */
export function compareBallots(left: Ballot, right: Ballot): number {
  if (left.round !== right.round) return left.round - right.round;
  if (left.by === right.by) return 0;
  return left.by < right.by ? -1 : 1;
}
