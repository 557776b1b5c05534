import { describe, expect, test } from '@jest/globals';
import { drawPlan, SERIES } from './plan.js';
import type { Plan, Step } from './plan.js';

const FOR_MS = 40_000;
/** After its return a machine counts as lost for this long (`syncS`). */
const SYNC_MS = 4_000;

function coreOf(plan: Plan): readonly Step[] {
  return plan.series.find((steps) => steps[0]?.tag === 'core') ?? [];
}

describe('the plan of a soak run', () => {
  test('follows from its seed alone', () => {
    expect(drawPlan(7, FOR_MS)).toEqual(drawPlan(7, FOR_MS));
    expect(drawPlan(7, FOR_MS)).not.toEqual(drawPlan(8, FOR_MS));
  });

  test('has all series, and the others unchanged where some are left out', () => {
    const all = drawPlan(7, FOR_MS);
    expect(all.series.map((steps) => steps[0]?.tag)).toEqual([...SERIES]);
    expect(drawPlan(7, FOR_MS, ['zone', 'list']).series).toEqual([all.series[1], all.series[5]]);
  });

  test('takes a disk only where nothing else is lost within the time that its machine counts as lost', () => {
    let wiped = 0;
    for (let seed = 0; seed < 100; seed += 1) {
      const steps = coreOf(drawPlan(seed, FOR_MS));
      for (const [i, step] of steps.entries()) {
        if (step.tag !== 'core' || step.trouble.tag !== 'kill' || !step.trouble.wipe) continue;
        wiped += 1;
        expect(step.afterMs).toBeGreaterThanOrEqual(SYNC_MS);
        expect(steps[i + 1]?.afterMs ?? Infinity).toBeGreaterThanOrEqual(SYNC_MS);
      }
    }
    expect(wiped).toBeGreaterThan(100);
  });
});
