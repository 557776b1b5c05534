import { expect, test } from '@jest/globals';
import { requestGrant, createLeaseTable, dropGrant } from './lease-table.js';

const ask = { role: 'scaler', termMs: 100 };

test('a grantor that restarted grants nothing for one term', () => {
  const book = createLeaseTable(1_000, 100);
  expect(requestGrant(book, { ...ask, holder: 'a', round: 1 }, 1_099)).toBe(false);
  expect(requestGrant(book, { ...ask, holder: 'a', round: 1 }, 1_100)).toBe(true);
});

test('a grant keeps others out until its end', () => {
  const book = createLeaseTable(0, 0);
  expect(requestGrant(book, { ...ask, holder: 'a', round: 1 }, 0)).toBe(true);
  expect(requestGrant(book, { ...ask, holder: 'b', round: 1 }, 99)).toBe(false);
  expect(requestGrant(book, { ...ask, holder: 'a', round: 2 }, 50)).toBe(true);
  expect(requestGrant(book, { ...ask, holder: 'b', round: 2 }, 149)).toBe(false);
  expect(requestGrant(book, { ...ask, holder: 'b', round: 3 }, 150)).toBe(true);
});

test('an old drop never ends a newer grant', () => {
  const book = createLeaseTable(0, 0);
  requestGrant(book, { ...ask, holder: 'a', round: 1 }, 0);
  requestGrant(book, { ...ask, holder: 'a', round: 2 }, 1);
  expect(dropGrant(book, 'scaler', 'a', 1)).toBe(false);
  expect(requestGrant(book, { ...ask, holder: 'b', round: 1 }, 2)).toBe(false);
  expect(dropGrant(book, 'scaler', 'a', 2)).toBe(true);
  expect(requestGrant(book, { ...ask, holder: 'b', round: 1 }, 3)).toBe(true);
});
