/** In which order a proxy tries controllers: near ones first, shared out among the proxies by hashing. */
import { sha256 } from '../../base/digest.js';

/** Where a controller is, and whether it is up. */
export type Location = { readonly zone: string; readonly region: string; readonly up: boolean };

/** A controller that may be followed; `failed` if it failed lately. */
export type Candidate = {
  readonly address: string;
  readonly name: string | null;
  readonly location: Location | null;
  readonly failed: boolean;
};

/** 0 in the same zone, 1 in the same region, else 2. */
export function networkDistance(
  own: { readonly zone: string; readonly region: string },
  location: Location | null,
): number {
  if (location === null || location.region !== own.region) return 2;
  return location.zone === own.zone ? 0 : 1;
}

/** All candidates, the best first; the same order whenever it is asked. */
export function rankCandidates(
  own: { readonly name: string; readonly zone: string; readonly region: string },
  all: readonly Candidate[],
): Candidate[] {
  const keys = new Map<Candidate, string>();
  for (const candidate of all) {
    const unhealthyRank = candidate.failed ? 2 : candidate.location !== null && !candidate.location.up ? 1 : 0;
    const unnamed = candidate.name === null ? 1 : 0;
    keys.set(
      candidate,
      `${unhealthyRank}${unnamed}${networkDistance(own, candidate.location)}${sha256(`${own.name} ${candidate.name ?? candidate.address}`)}`,
    );
  }
  return [...all].sort(byKey);
  function byKey(left: Candidate, right: Candidate): number {
    return (keys.get(left) ?? '') < (keys.get(right) ?? '') ? -1 : 1;
  }
}
