import { describe, expect, test } from '@jest/globals';
import { drawPlan, SERIES } from './plan.js';
import type { Plan, Step } from './plan.js';

const DURATION_MS = 40_000;
/** A machine counts as lost for this long after its restart (`syncS`). */
const SYNC_MS = 4_000;

function coreSteps(plan: Plan): readonly Step[] {
  return plan.series.find((steps) => steps[0]?.tag === 'core') ?? [];
}

describe('the plan of a soak run', () => {
  test('depends on its seed alone', () => {
    expect(drawPlan(7, DURATION_MS)).toEqual(drawPlan(7, DURATION_MS));
    expect(drawPlan(7, DURATION_MS)).not.toEqual(drawPlan(8, DURATION_MS));
  });

  test('has all series; leaving some out does not change the others', () => {
    const all = drawPlan(7, DURATION_MS);
    expect(all.series.map((steps) => steps[0]?.tag)).toEqual([...SERIES]);
    expect(drawPlan(7, DURATION_MS, ['zone', 'list']).series).toEqual([all.series[1], all.series[5]]);
  });

  test('wipes a disk only if no other controller fault falls into the time in which its machine counts as lost', () => {
    let wiped = 0;
    for (let seed = 0; seed < 100; seed += 1) {
      const steps = coreSteps(drawPlan(seed, DURATION_MS));
      for (const [i, step] of steps.entries()) {
        if (step.tag !== 'core' || step.fault.tag !== 'kill' || !step.fault.wipe) continue;
        wiped += 1;
        expect(step.afterMs).toBeGreaterThanOrEqual(SYNC_MS);
        expect(steps[i + 1]?.afterMs ?? Infinity).toBeGreaterThanOrEqual(SYNC_MS);
      }
    }
    expect(wiped).toBeGreaterThan(100);
  });
});
