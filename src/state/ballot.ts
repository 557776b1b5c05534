/**
 * Ballot numbers of the agreement: ordered by round, then by the proposer's name, so that no
 * two proposers ever share one.
 */

/** A ballot: its round, and the proposer it belongs to. */
export type Ballot = { readonly round: number; readonly by: string };

/** Lower than every ballot of a proposer. */
export const NO_BALLOT: Ballot = { round: 0, by: '' };

/** Below, at or above 0 as `a` is lower than, equal to or higher than `b`. */
export function compareBallots(a: Ballot, b: Ballot): number {
  if (a.round !== b.round) return a.round - b.round;
  if (a.by === b.by) return 0;
  return a.by < b.by ? -1 : 1;
}
