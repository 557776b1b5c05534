import { describe, expect, test } from '@jest/globals';
import { compareVersions, createWorkerListTable, isEmptyChange } from './worker-list-table.js';
import type { WorkerEntry } from './worker-entry.js';

function worker(id: string, more: Partial<WorkerEntry> = {}): WorkerEntry {
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
    ...more,
  };
}
const LEAVING = worker('b', { leaving: true, remainingMs: 5_000 });

describe('a numbered list', () => {
  test('numbers go by term, then reader, then count', () => {
    expect(compareVersions([2, 'a', 0], [1, 'z', 9])).toBeGreaterThan(0);
    expect(compareVersions([1, 'b', 0], [1, 'a', 9])).toBeGreaterThan(0);
    expect(compareVersions([1, 'a', 2], [1, 'a', 10])).toBeLessThan(0);
  });

  test('an older whole list is not taken, nor an older change', () => {
    const book = createWorkerListTable();
    expect(book.applySnapshot([2, 'x', 5], [worker('a')], 100)).toBe('taken');
    expect(book.applySnapshot([1, 'y', 50], [worker('old')], 900)).toBe('old');
    expect(book.applyChange([2, 'x', 4], [2, 'x', 3], { changed: [worker('old')], gone: [] }, 900)).toBe('old');
    expect(book.confirm([1, 'x', 5], 900)).toBe('old');
    expect(book.entries().map((e) => e.id)).toEqual(['a']);
    expect(book.asOf()).toBe(100);
  });

  test('a change fits only on its own base', () => {
    const book = createWorkerListTable();
    expect(book.applyChange([1, 'x', 1], [1, 'x', 0], { changed: [worker('a')], gone: [] }, 10)).toBe('gap');
    book.applySnapshot([1, 'x', 0], [worker('a'), worker('b')], 10);
    expect(book.applyChange([1, 'x', 2], [1, 'x', 1], { changed: [], gone: ['a'] }, 20)).toBe('gap');
    expect(book.applyChange([1, 'x', 1], [1, 'x', 0], { changed: [LEAVING], gone: ['a'] }, 20)).toBe('taken');
    expect(book.entries()).toEqual([LEAVING]);
    expect(book.applyChange([2, 'y', 0], [1, 'x', 1], { changed: [], gone: [] }, 30)).toBe('taken');
    expect(book.confirm([2, 'y', 3], 40)).toBe('gap');
  });

  test('durations run on, and only what differs beyond them is a difference', () => {
    const book = createWorkerListTable();
    book.applySnapshot([1, 'x', 0], [LEAVING, worker('c', { coldMs: 3_000 })], 1_000);
    const later = [{ ...LEAVING, remainingMs: 4_000 }, worker('c', { coldMs: 2_050 })];
    expect(isEmptyChange(book.differenceTo(later, 2_000))).toBe(true);
    expect(book.differenceTo([{ ...LEAVING, remainingMs: 1_000 }], 2_000)).toEqual({
      changed: [{ ...LEAVING, remainingMs: 1_000 }],
      gone: ['c'],
    });
    book.confirm([1, 'x', 0], 2_500);
    expect(book.entries()).toEqual([{ ...LEAVING, remainingMs: 3_500 }, worker('c', { coldMs: 1_500 })]);
  });

  test('a new reader whose first reading is the older one takes no notice of leaving back', () => {
    const book = createWorkerListTable();
    book.applySnapshot([1, 'x', 0], [worker('a'), LEAVING], 1_000);
    book.applySnapshot([2, 'y', 0], [worker('a'), worker('b')], 900);
    expect(book.entries().find((e) => e.id === 'b')?.leaving).toBe(true);
    book.applyChange([2, 'y', 1], [2, 'y', 0], { changed: [worker('b')], gone: [] }, 1_900);
    expect(book.entries().find((e) => e.id === 'b')?.leaving).toBe(false);
  });
});
