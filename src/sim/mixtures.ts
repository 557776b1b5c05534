import { runChaos } from './chaos.js';
import type { ChaosEnd } from './chaos.js';
import { ALL_FAULTS } from './faults.js';
import type { ShapeName } from './shapes.js';

export function playMixture(shape: ShapeName, seed: number, everyMs: number): Promise<ChaosEnd> {
  return runChaos(seed, { faults: ALL_FAULTS, seconds: seed > 4_000 ? 40 : 30, everyMs, shape });
}
