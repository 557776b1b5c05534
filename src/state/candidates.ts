import { sha256 } from '../base/digest.js';

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
  for (const c of all) {
    const unhealthyRank = c.failed ? 2 : c.location !== null && !c.location.up ? 1 : 0;
    const unnamed = c.name === null ? 1 : 0;
    keys.set(
      c,
      `${unhealthyRank}${unnamed}${networkDistance(own, c.location)}${sha256(`${own.name} ${c.name ?? c.address}`)}`,
    );
  }
  return [...all].sort(byKey);
  function byKey(a: Candidate, b: Candidate): number {
    return (keys.get(a) ?? '') < (keys.get(b) ?? '') ? -1 : 1;
  }
}
