/** Ranks the controllers that a proxy may follow: nearest first, ties spread over the proxies by rendezvous hashing. */
import { sha256 } from '../../base/digest.js';

/** Zone and region of a controller, and whether it is up. */
export type Location = { readonly zone: string; readonly region: string; readonly up: boolean };

/**
 * A controller that may be followed. `name` and `location` are null if unknown; `failed` says that it failed recently.
 */
export type Candidate = {
  readonly address: string;
  readonly name: string | null;
  readonly location: Location | null;
  readonly failed: boolean;
};

/** Returns 0 for the same zone, 1 for the same region, and 2 otherwise. */
export function networkDistance(
  own: { readonly zone: string; readonly region: string },
  location: Location | null,
): number {
  if (location === null || location.region !== own.region) return 2;
  return location.zone === own.zone ? 0 : 1;
}

/**
 * Returns all candidates, the best first: those without a failure before those that are down or have failed, named ones
 * before bare addresses, near ones before distant ones. The order depends on the arguments alone.
 */
export function rankCandidates(
  own: { readonly name: string; readonly zone: string; readonly region: string },
  all: readonly Candidate[],
): Candidate[] {
  const sortKeys = new Map<Candidate, string>();
  for (const candidate of all) {
    const unhealthyRank = candidate.failed ? 2 : candidate.location !== null && !candidate.location.up ? 1 : 0;
    const unnamedRank = candidate.name === null ? 1 : 0;
    sortKeys.set(
      candidate,
      `${unhealthyRank}${unnamedRank}${networkDistance(own, candidate.location)}${sha256(`${own.name} ${candidate.name ?? candidate.address}`)}`,
    );
  }
  return [...all].sort(byKey);
  function byKey(left: Candidate, right: Candidate): number {
    return (sortKeys.get(left) ?? '') < (sortKeys.get(right) ?? '') ? -1 : 1;
  }
}
