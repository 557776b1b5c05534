import { expect, test } from '@jest/globals';
import { requestGrant, createLeaseTable, releaseGrant } from './lease-table.js';

const request = { role: 'scaler', termMs: 100 };

test('a restarted grantor grants nothing for one lease term', () => {
  const table = createLeaseTable(1_000, 100);
  expect(requestGrant(table, { ...request, holder: 'a', round: 1 }, 1_099)).toBe(false);
  expect(requestGrant(table, { ...request, holder: 'a', round: 1 }, 1_100)).toBe(true);
});

test('a grant excludes other holders until it expires', () => {
  const table = createLeaseTable(0, 0);
  expect(requestGrant(table, { ...request, holder: 'a', round: 1 }, 0)).toBe(true);
  expect(requestGrant(table, { ...request, holder: 'b', round: 1 }, 99)).toBe(false);
  expect(requestGrant(table, { ...request, holder: 'a', round: 2 }, 50)).toBe(true);
  expect(requestGrant(table, { ...request, holder: 'b', round: 2 }, 149)).toBe(false);
  expect(requestGrant(table, { ...request, holder: 'b', round: 3 }, 150)).toBe(true);
});

test('releasing an older round never ends a newer grant', () => {
  const table = createLeaseTable(0, 0);
  requestGrant(table, { ...request, holder: 'a', round: 1 }, 0);
  requestGrant(table, { ...request, holder: 'a', round: 2 }, 1);
  expect(releaseGrant(table, 'scaler', 'a', 1)).toBe(false);
  expect(requestGrant(table, { ...request, holder: 'b', round: 1 }, 2)).toBe(false);
  expect(releaseGrant(table, 'scaler', 'a', 2)).toBe(true);
  expect(requestGrant(table, { ...request, holder: 'b', round: 1 }, 3)).toBe(true);
});
