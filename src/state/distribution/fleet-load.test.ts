import { expect, test } from '@jest/globals';
import { createFleetLoad } from './fleet-load.js';

test('sums the load of all proxies by worker, counting only the newest report of each', () => {
  const fleetLoad = createFleetLoad(1_000);
  expect(fleetLoad.record({ name: 'a', run: 'r', count: 2, rows: { w: [1, 10, 100, 0, 1] } }, 0)).toBe(true);
  expect(fleetLoad.record({ name: 'a', run: 'r', count: 1, rows: { w: [9, 9, 9, 0, 1] } }, 0)).toBe(false);
  expect(
    fleetLoad.record({ name: 'b', run: 'r', count: 1, rows: { w: [2, 20, 200, 0, 1], v: [1, 0, 5, 0, 1] } }, 500),
  ).toBe(true);
  expect(fleetLoad.sums(600)).toEqual({ w: [3, 30, 300, 0, 2], v: [1, 0, 5, 0, 1] });
});

test('a new run replaces the reports of the run before, and a proxy that stopped reporting is dropped', () => {
  const fleetLoad = createFleetLoad(1_000);
  fleetLoad.record({ name: 'a', run: 'r', count: 9, rows: { w: [1, 1, 1, 0, 1] } }, 0);
  expect(fleetLoad.record({ name: 'a', run: 's', count: 1, rows: { w: [4, 4, 4, 0, 1] } }, 100)).toBe(true);
  expect(fleetLoad.sums(100)).toEqual({ w: [4, 4, 4, 0, 1] });
  expect(fleetLoad.sums(1_200)).toEqual({});
});

// Guards against sums that begin with an inherited property: such a worker's load was not a number.
test.each(['constructor', 'toString'])('the load of a worker named %s is summed', (id) => {
  const fleetLoad = createFleetLoad(1_000);
  for (const name of ['a', 'b']) fleetLoad.record({ name, run: 'r', count: 1, rows: { [id]: [1, 2, 3, 0, 1] } }, 0);
  expect(fleetLoad.sums(0)).toEqual({ [id]: [2, 4, 6, 0, 2] });
});
