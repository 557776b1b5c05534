import { describe, expect, test } from '@jest/globals';
import { compareVersions, createWorkerListTable, isEmptyChange } from './worker-list-table.js';
import type { WorkerEntry } from './worker-entry.js';

function worker(id: string, overrides: Partial<WorkerEntry> = {}): WorkerEntry {
  return {
    id,
    model: 'm',
    address: 'a:1',
    zone: 'z',
    region: 'r',
    release: 'v1',
    places: 4,
    leaving: false,
    remainingMs: null,
    coldMs: 0,
    ...overrides,
  };
}
const LEAVING = worker('b', { leaving: true, remainingMs: 5_000 });

describe('a versioned worker list', () => {
  test('versions are ordered by term, then reader, then counter', () => {
    expect(compareVersions([2, 'a', 0], [1, 'z', 9])).toBeGreaterThan(0);
    expect(compareVersions([1, 'b', 0], [1, 'a', 9])).toBeGreaterThan(0);
    expect(compareVersions([1, 'a', 2], [1, 'a', 10])).toBeLessThan(0);
  });

  test('neither an older snapshot nor an older change is applied', () => {
    const table = createWorkerListTable();
    expect(table.applySnapshot([2, 'x', 5], [worker('a')], 100)).toBe('taken');
    expect(table.applySnapshot([1, 'y', 50], [worker('old')], 900)).toBe('old');
    expect(table.applyChange([2, 'x', 4], [2, 'x', 3], { changed: [worker('old')], gone: [] }, 900)).toBe('old');
    expect(table.confirm([1, 'x', 5], 900)).toBe('old');
    expect(table.entries().map((e) => e.id)).toEqual(['a']);
    expect(table.asOf()).toBe(100);
  });

  test('a change is applied only to its base version', () => {
    const table = createWorkerListTable();
    expect(table.applyChange([1, 'x', 1], [1, 'x', 0], { changed: [worker('a')], gone: [] }, 10)).toBe('gap');
    table.applySnapshot([1, 'x', 0], [worker('a'), worker('b')], 10);
    expect(table.applyChange([1, 'x', 2], [1, 'x', 1], { changed: [], gone: ['a'] }, 20)).toBe('gap');
    expect(table.applyChange([1, 'x', 1], [1, 'x', 0], { changed: [LEAVING], gone: ['a'] }, 20)).toBe('taken');
    expect(table.entries()).toEqual([LEAVING]);
    expect(table.applyChange([2, 'y', 0], [1, 'x', 1], { changed: [], gone: [] }, 30)).toBe('taken');
    expect(table.confirm([2, 'y', 3], 40)).toBe('gap');
  });

  test('remaining times elapse, and only a deviation from the elapsed time counts as a change', () => {
    const table = createWorkerListTable();
    table.applySnapshot([1, 'x', 0], [LEAVING, worker('c', { coldMs: 3_000 })], 1_000);
    const later = [{ ...LEAVING, remainingMs: 4_000 }, worker('c', { coldMs: 2_050 })];
    expect(isEmptyChange(table.differenceTo(later, 2_000))).toBe(true);
    expect(table.differenceTo([{ ...LEAVING, remainingMs: 1_000 }], 2_000)).toEqual({
      changed: [{ ...LEAVING, remainingMs: 1_000 }],
      gone: ['c'],
    });
    table.confirm([1, 'x', 0], 2_500);
    expect(table.entries()).toEqual([{ ...LEAVING, remainingMs: 3_500 }, worker('c', { coldMs: 1_500 })]);
  });

  test('the first reading of a new reader does not withdraw a notice of leaving if that reading is older', () => {
    const table = createWorkerListTable();
    table.applySnapshot([1, 'x', 0], [worker('a'), LEAVING], 1_000);
    table.applySnapshot([2, 'y', 0], [worker('a'), worker('b')], 900);
    expect(table.entries().find((e) => e.id === 'b')?.leaving).toBe(true);
    table.applyChange([2, 'y', 1], [2, 'y', 0], { changed: [worker('b')], gone: [] }, 1_900);
    expect(table.entries().find((e) => e.id === 'b')?.leaving).toBe(false);
  });
});
