import { describe, expect, test } from '@jest/globals';
import {
  findAppliedChange,
  findAppliedZoneOrder,
  emptyOperatorHistory,
  isOperatorHistory,
  MAX_APPLIED_CHANGES,
  MAX_ZONE_ORDERS,
  numberMayBeForgotten,
  NO_ZONE_VERSION,
  operatorRequestId,
  recordChange,
  recordZoneOrder,
  versionMayBeForgotten,
  zoneVersion,
} from './operator-history.js';
import type { OperatorHistory } from './operator-history.js';

function historyOfNumberedChanges(count: number): OperatorHistory {
  const history = emptyOperatorHistory();
  for (let n = 0; n < count; n += 1)
    recordChange(history, { request: `r${n}`, version: 10 * n, revision: { base: n, number: n + 1 } }, []);
  return history;
}

describe('the history of operator changes', () => {
  test('is bounded, and reports from which base on it is complete', () => {
    const history = historyOfNumberedChanges(MAX_APPLIED_CHANGES + 2);
    expect(history.changes.length).toBe(MAX_APPLIED_CHANGES);
    expect([0, 1, 2].map((n) => findAppliedChange(history, `r${n}`)?.revision?.number)).toEqual([
      undefined,
      undefined,
      3,
    ]);
    expect([0, 1, 2].map((base) => numberMayBeForgotten(history, base))).toEqual([true, true, false]);
    expect([9, 10, 11].map((version) => versionMayBeForgotten(history, version))).toEqual([true, false, false]);
  });

  test('is complete while no change was dropped', () => {
    const history = historyOfNumberedChanges(MAX_APPLIED_CHANGES);
    expect([numberMayBeForgotten(history, 0), versionMayBeForgotten(history, 0)]).toEqual([false, false]);
  });

  test('takes little more than a hundred bytes for each change', () => {
    const history = emptyOperatorHistory();
    for (let n = 0; n < MAX_APPLIED_CHANGES; n += 1) {
      recordChange(
        history,
        {
          request: operatorRequestId('f'.repeat(32)),
          version: 1_000_000 + n,
          revision: { base: 100_000 + n, number: 100_001 + n },
        },
        [],
      );
    }
    expect(JSON.stringify(history).length).toBeLessThan(130 * MAX_APPLIED_CHANGES);
  });

  test('keeps the newest order of each zone, and the zone orders with an id of their own', () => {
    const history = emptyOperatorHistory();
    expect(zoneVersion(history, 'constructor')).toBe(NO_ZONE_VERSION);
    for (let n = 0; n <= MAX_ZONE_ORDERS; n += 1)
      recordZoneOrder(history, 'z', { request: operatorRequestId(`${n}`), version: n });
    recordZoneOrder(history, 'z', { request: 'evacuation:z@7', version: 999 });
    expect(zoneVersion(history, 'z')).toBe(999);
    expect(history.zoneOrders.length).toBe(MAX_ZONE_ORDERS);
    expect([0, 1].map((n) => findAppliedZoneOrder(history, operatorRequestId(`${n}`))?.version)).toEqual([
      undefined,
      1,
    ]);
  });

  test('is validated when it was received or read from disk', () => {
    const history = JSON.parse(JSON.stringify(historyOfNumberedChanges(3))) as object;
    expect(isOperatorHistory(history)).toBe(true);
    for (const bad of [
      null,
      [],
      {},
      { ...history, changes: {} },
      { ...history, forgottenNumber: 'x' },
      { ...history, undo: 7 },
      { ...history, zoneVersions: null },
    ]) {
      expect(isOperatorHistory(bad)).toBe(false);
    }
  });
});
