import { expect, test } from '@jest/globals';
import { runRacingDay } from './racing-day.js';

test.each([
  [1, 3],
  [2, 5],
  [3, 3],
  [4, 5],
] as const)(
  'the calls of racing operators during faults are linearizable (seed %i, %i controllers)',
  async (seed, controllers) => {
    const end = await runRacingDay(seed, { controllers, seconds: 60 });
    expect(end.violation).toBeNull();
    expect(end.broken).toEqual([]);
    expect(end.confirmed).toBeGreaterThan(100);
    expect(end.zoneOrders).toBeGreaterThan(10);
  },
);

test('controllers that read without a majority are detected', async () => {
  const end = await runRacingDay(5, { controllers: 3, seconds: 60, sabotage: { readsWithoutMajority: true } });
  expect(end.violation).not.toBeNull();
});

test('controllers that don’t keep the history of changes are detected', async () => {
  const end = await runRacingDay(6, { controllers: 3, seconds: 60, sabotage: { forgetsChanges: true } });
  expect(end.violation).not.toBeNull();
});
