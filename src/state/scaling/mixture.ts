/**
 * Numbers of spot and on-demand workers wanted, following SkyServe (docs/skyserve.md): spot workers with some spare
 * ones, and on-demand workers for what ready spot workers do not cover yet.
 */

/** Number of workers wanted of each kind. */
export type Mixture = { readonly spot: number; readonly onDemand: number };

/** Computes the mixture for a target, `extra` spare spot workers and the number of spot workers that are ready. */
export function decideMixture(target: number, extra: number, readySpot: number): Mixture {
  const spot = target + extra;
  return { spot, onDemand: Math.min(target, Math.max(0, spot - readySpot)) };
}
