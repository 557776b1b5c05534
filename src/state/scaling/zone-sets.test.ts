import { describe, expect, test } from '@jest/globals';
import { alignZones, handleLaunch, handlePreemption, initialZones, selectNextZone } from './zone-sets.js';

const order = ['zone1', 'zone2', 'zone3'];
function flat(): number {
  return 1;
}

describe('zone sets', () => {
  test('walk the three-zone example of section 3.3', () => {
    let sets = initialZones(order);
    sets = handlePreemption(sets, 'zone2');
    expect(sets).toEqual({ active: ['zone1', 'zone3'], preemptive: ['zone2'] });
    const occupied = new Set<string>();
    const chosen: string[] = [];
    for (let i = 0; i < 4; i += 1) {
      const z = selectNextZone(sets, order, occupied, flat) as string;
      occupied.add(z);
      chosen.push(z);
    }
    expect(chosen).toEqual(['zone1', 'zone3', 'zone1', 'zone1']);

    sets = handlePreemption(sets, 'zone3');
    expect(sets).toEqual({ active: ['zone1', 'zone2', 'zone3'], preemptive: [] });
    sets = handlePreemption(sets, 'zone3');
    sets = handleLaunch(sets, 'zone1');
    expect(selectNextZone(sets, order, new Set(['zone2']), flat)).toBe('zone1');

    sets = handleLaunch(sets, 'zone3');
    sets = handlePreemption(sets, 'zone1');
    expect(sets.preemptive).toEqual(['zone1']);
    expect(selectNextZone(sets, order, new Set(['zone2']), flat)).toBe('zone3');
  });

  test('a second loss in a demoted zone changes nothing', () => {
    const once = handlePreemption(initialZones([...order, 'zone4']), 'zone1');
    expect(handlePreemption(once, 'zone1')).toEqual(once);
  });

  test('the cheapest free zone comes first, else the cheapest active one', () => {
    const prices: Record<string, number> = { zone1: 3, zone2: 2, zone3: 1 };
    function priceOf(z: string): number {
      return prices[z] ?? 9;
    }
    const sets = initialZones(order);
    expect(selectNextZone(sets, order, new Set(), priceOf)).toBe('zone3');
    expect(selectNextZone(sets, order, new Set(['zone3']), priceOf)).toBe('zone2');
    expect(selectNextZone(sets, order, new Set(order), priceOf)).toBe('zone3');
    expect(selectNextZone({ active: [], preemptive: [] }, order, new Set(), priceOf)).toBeNull();
  });

  test('zones the operator adds or takes away are aligned', () => {
    const sets = { active: ['zone1', 'zone2'], preemptive: ['zone3'] };
    expect(alignZones(sets, ['zone2', 'zone3', 'zone4'])).toEqual({
      active: ['zone2', 'zone4'],
      preemptive: ['zone3'],
    });
    expect(alignZones(sets, ['zone3'])).toEqual({ active: ['zone3'], preemptive: [] });
  });

  test('one enabled zone stays active however often it is preempted', () => {
    expect(handlePreemption(initialZones(['only']), 'only')).toEqual({ active: ['only'], preemptive: [] });
  });
});
