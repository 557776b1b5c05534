/**
 * Ballot numbers of the consensus protocol: ordered by round, then by the name of the proposer, so that no two
 * proposers ever use the same ballot.
 */

/** A ballot: its round and the name of its proposer. */
export type Ballot = { readonly round: number; readonly by: string };

/** Lower than every ballot of a proposer. */
export const NO_BALLOT: Ballot = { round: 0, by: '' };

/** Returns a number below 0, 0 or above 0 if `left` is lower than, equal to or higher than `right`. */
export function compareBallots(left: Ballot, right: Ballot): number {
  if (left.round !== right.round) return left.round - right.round;
  if (left.by === right.by) return 0;
  return left.by < right.by ? -1 : 1;
}
