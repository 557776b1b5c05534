import { sha256 } from '../../base/digest.js';

export type Location = { readonly zone: string; readonly region: string; readonly up: boolean };

export type Candidate = {
  readonly address: string;
  readonly name: string | null;
  readonly location: Location | null;
  readonly failed: boolean;
};

export function networkDistance(
  own: { readonly zone: string; readonly region: string },
  location: Location | null,
): number {
  if (location === null || location.region !== own.region) return 2;
  return location.zone === own.zone ? 0 : 1;
}

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
