import { runChaos } from './chaos.js';
import type { ChaosResult } from './chaos.js';
import { ALL_FAULTS } from './faults.js';
import type { ShapeName } from './shapes.js';

/** Plays a chaos run with all faults; seeds above 4000 have a longer fault phase. */
export function runMixedFaults(shape: ShapeName, seed: number, everyMs: number): Promise<ChaosResult> {
  return runChaos(seed, { faults: ALL_FAULTS, seconds: seed > 4_000 ? 40 : 30, everyMs, shape });
}
