import { describe, expect, test } from '@jest/globals';
import { createSimFleet } from './sim-fleet.js';

describe('a fleet without faults', () => {
  test.each([1, 2])('serves a mixed load without breaking a rule (seed %i)', async (seed) => {
    const fleet = createSimFleet(seed);
    expect(await fleet.start()).toBe(true);
    const tallies = await fleet.runUntilSettled(
      Promise.all(['hu-1', 'at-1', 'ro-1'].map((zone) => fleet.traffic({ zone, seconds: 10 }))),
      40_000,
    );
    expect(tallies).not.toBeNull();
    const all = (tallies ?? []).flatMap((t) => Object.entries(t));
    const good = all.filter(([k]) => k.endsWith('success')).reduce((n, [, v]) => n + v, 0);
    const asked = all.reduce((n, [, v]) => n + v, 0);
    expect(good).toBe(asked);
    expect(asked).toBeGreaterThan(100);
    expect(fleet.check()).toEqual([]);
  });

  test('the same seed gives the same run, record for record', async () => {
    async function runOnce(): Promise<string> {
      const fleet = createSimFleet(5);
      await fleet.start();
      await fleet.runUntilSettled(fleet.traffic({ zone: 'hu-1', seconds: 4 }), 20_000);
      expect(fleet.records.length).toBeGreaterThan(50);
      return JSON.stringify(fleet.records);
    }
    expect(await runOnce()).toBe(await runOnce());
  });
});
