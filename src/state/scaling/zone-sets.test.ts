import { describe, expect, test } from '@jest/globals';
import { alignZones, handleLaunch, handlePreemption, initialZones, selectNextZone } from './zone-sets.js';

const zoneOrder = ['zone1', 'zone2', 'zone3'];
function uniformPrice(): number {
  return 1;
}

describe('zone sets', () => {
  test('follow the three-zone example of section 3.3', () => {
    let sets = initialZones(zoneOrder);
    sets = handlePreemption(sets, 'zone2');
    expect(sets).toEqual({ active: ['zone1', 'zone3'], preemptive: ['zone2'] });
    const occupied = new Set<string>();
    const chosen: string[] = [];
    for (let i = 0; i < 4; i += 1) {
      const zone = selectNextZone(sets, zoneOrder, occupied, uniformPrice) as string;
      occupied.add(zone);
      chosen.push(zone);
    }
    expect(chosen).toEqual(['zone1', 'zone3', 'zone1', 'zone1']);

    sets = handlePreemption(sets, 'zone3');
    expect(sets).toEqual({ active: ['zone1', 'zone2', 'zone3'], preemptive: [] });
    sets = handlePreemption(sets, 'zone3');
    sets = handleLaunch(sets, 'zone1');
    expect(selectNextZone(sets, zoneOrder, new Set(['zone2']), uniformPrice)).toBe('zone1');

    sets = handleLaunch(sets, 'zone3');
    sets = handlePreemption(sets, 'zone1');
    expect(sets.preemptive).toEqual(['zone1']);
    expect(selectNextZone(sets, zoneOrder, new Set(['zone2']), uniformPrice)).toBe('zone3');
  });

  test('a second preemption in a demoted zone changes nothing', () => {
    const once = handlePreemption(initialZones([...zoneOrder, 'zone4']), 'zone1');
    expect(handlePreemption(once, 'zone1')).toEqual(once);
  });

  test('the cheapest active zone without a machine is selected, else the cheapest active one', () => {
    const prices: Record<string, number> = { zone1: 3, zone2: 2, zone3: 1 };
    function priceOf(z: string): number {
      return prices[z] ?? 9;
    }
    const sets = initialZones(zoneOrder);
    expect(selectNextZone(sets, zoneOrder, new Set(), priceOf)).toBe('zone3');
    expect(selectNextZone(sets, zoneOrder, new Set(['zone3']), priceOf)).toBe('zone2');
    expect(selectNextZone(sets, zoneOrder, new Set(zoneOrder), priceOf)).toBe('zone3');
    expect(selectNextZone({ active: [], preemptive: [] }, zoneOrder, new Set(), priceOf)).toBeNull();
  });

  test('the sets follow zones that the operator adds or removes', () => {
    const sets = { active: ['zone1', 'zone2'], preemptive: ['zone3'] };
    expect(alignZones(sets, ['zone2', 'zone3', 'zone4'])).toEqual({
      active: ['zone2', 'zone4'],
      preemptive: ['zone3'],
    });
    expect(alignZones(sets, ['zone3'])).toEqual({ active: ['zone3'], preemptive: [] });
  });

  test('a single enabled zone stays active after preemptions', () => {
    expect(handlePreemption(initialZones(['only']), 'only')).toEqual({ active: ['only'], preemptive: [] });
  });
});
