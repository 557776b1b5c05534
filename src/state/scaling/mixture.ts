/**
 * Spot and on-demand workers wanted, by SkyServe (docs/skyserve.md): spot with some to spare,
 * and on-demand ones for what spot does not yet cover.
 */

/** Workers wanted of each kind. */
export type Mixture = { readonly spot: number; readonly onDemand: number };

/** The mixture for a target, `extra` spare ones and the spot workers that are ready. */
export function decideMixture(target: number, extra: number, readySpot: number): Mixture {
  const spot = target + extra;
  return { spot, onDemand: Math.min(target, Math.max(0, spot - readySpot)) };
}
