import { describe, expect, test } from '@jest/globals';
import type { Report } from './report.js';
import { differenceTo, mergeReport } from './reports.js';
import type { Reports } from './reports.js';

function row(count: number, health: Report['health'], more: Partial<Report> = {}): Report {
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
    ...more,
  };
}

describe('reports as differences', () => {
  test('a difference names only what changed and merges to the whole', () => {
    const first = row(1, { a: 'fit', b: 'fit', c: 'unfit' });
    const second = row(4, { a: 'fit', b: 'unfit', d: 'fit' });
    const told = differenceTo(first, second);
    expect([told.since, told.health, told.gone]).toEqual([1, { b: 'unfit', d: 'fit' }, ['c']]);
    const table: Reports = new Map();
    expect([mergeReport(table, first), mergeReport(table, told)]).toEqual(['merged', 'merged']);
    expect(table.get('s1')).toEqual(second);
  });

  test('the row a difference was made from stays as it was', () => {
    const first = row(1, { a: 'fit' });
    const table: Reports = new Map([['s1', first]]);
    mergeReport(table, differenceTo(first, row(2, { a: 'unfit' })));
    expect(first.health).toEqual({ a: 'fit' });
  });

  test('a difference to a row that is not held is a gap and changes nothing', () => {
    const late = differenceTo(row(2, { a: 'fit' }), row(3, { a: 'unfit' }));
    for (const held of [undefined, row(1, { a: 'fit' }), row(2, { a: 'fit' }, { run: 'r0' })]) {
      const table: Reports = new Map(held ? [['s1', held]] : []);
      expect(mergeReport(table, late)).toBe('gap');
      expect(table.get('s1')).toBe(held);
    }
  });

  test('an older row, and one told twice, is old', () => {
    const table: Reports = new Map([['s1', row(5, {})]]);
    expect([
      mergeReport(table, row(4, {})),
      mergeReport(table, row(5, {})),
      mergeReport(table, row(6, {}, { incarnation: 0 })),
    ]).toEqual(['old', 'old', 'old']);
  });

  test('another run, or nothing told before, is told whole', () => {
    const now = row(9, { a: 'fit' });
    expect(differenceTo(undefined, now)).toBe(now);
    expect(differenceTo(row(8, {}, { run: 'r0' }), now)).toBe(now);
  });
});
