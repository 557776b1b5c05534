import { describe, expect, test } from '@jest/globals';
import type { Report } from './report.js';
import { deltaSince, mergeReport } from './reports.js';
import type { Reports } from './reports.js';

function createReport(count: number, health: Report['health'], overrides: Partial<Report> = {}): Report {
  return {
    reporter: 's1',
    run: 'r1',
    incarnation: 1,
    count,
    requests: { m: count },
    shed: 0,
    attempted: 0,
    retried: 0,
    slot: 3,
    health,
    http: '10.0.0.1:1',
    ready: true,
    zone: 'z',
    region: 'r',
    ...overrides,
  };
}

describe('reports as deltas', () => {
  test('a delta contains only what changed, and merges to the complete report', () => {
    const first = createReport(1, { a: 'fit', b: 'fit', c: 'unfit' });
    const second = createReport(4, { a: 'fit', b: 'unfit', d: 'fit' });
    const delta = deltaSince(first, second);
    expect([delta.since, delta.health, delta.gone]).toEqual([1, { b: 'unfit', d: 'fit' }, ['c']]);
    const table: Reports = new Map();
    expect([mergeReport(table, first), mergeReport(table, delta)]).toEqual(['merged', 'merged']);
    expect(table.get('s1')).toEqual(second);
  });

  test('merging a delta does not modify the report it was computed from', () => {
    const first = createReport(1, { a: 'fit' });
    const table: Reports = new Map([['s1', first]]);
    mergeReport(table, deltaSince(first, createReport(2, { a: 'unfit' })));
    expect(first.health).toEqual({ a: 'fit' });
  });

  test('a delta to a report that is not stored is a gap and changes nothing', () => {
    const delta = deltaSince(createReport(2, { a: 'fit' }), createReport(3, { a: 'unfit' }));
    for (const stored of [undefined, createReport(1, { a: 'fit' }), createReport(2, { a: 'fit' }, { run: 'r0' })]) {
      const table: Reports = new Map(stored ? [['s1', stored]] : []);
      expect(mergeReport(table, delta)).toBe('gap');
      expect(table.get('s1')).toBe(stored);
    }
  });

  test('an older report and a repeated one are old', () => {
    const table: Reports = new Map([['s1', createReport(5, {})]]);
    expect([
      mergeReport(table, createReport(4, {})),
      mergeReport(table, createReport(5, {})),
      mergeReport(table, createReport(6, {}, { incarnation: 0 })),
    ]).toEqual(['old', 'old', 'old']);
  });

  test('without an earlier report of the same run, the report is sent complete', () => {
    const now = createReport(9, { a: 'fit' });
    expect(deltaSince(undefined, now)).toBe(now);
    expect(deltaSince(createReport(8, {}, { run: 'r0' }), now)).toBe(now);
  });
});
