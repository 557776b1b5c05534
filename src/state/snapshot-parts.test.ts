import { describe, expect, test } from '@jest/globals';
import {
  addPart,
  assembled,
  createAssembly,
  isBounded,
  MOST_SNAPSHOT_LENGTH,
  nextPart,
  PART_LENGTH,
  partCount,
  partOf,
  snapshotOf,
} from './snapshot-parts.js';

function textOf(length: number): string {
  let text = '';
  for (let i = 0; text.length < length; i += 1) text += `${i}ő😀`;
  return text.slice(0, length);
}

describe('a snapshot in parts', () => {
  test.each([1, PART_LENGTH - 1, PART_LENGTH, PART_LENGTH + 1, 3 * PART_LENGTH + 7])(
    'a text of %i is put together as it was, over JSON as well',
    (length) => {
      const snapshot = snapshotOf(5, textOf(length));
      const assembly = createAssembly(snapshot.offer);
      let asked = 0;
      for (let next = nextPart(assembly); next !== null; next = nextPart(assembly)) {
        const part = JSON.parse(JSON.stringify(partOf(snapshot, next))) as string;
        expect(addPart(assembly, next, part)).toBe(true);
        asked += 1;
      }
      expect(asked).toBe(partCount(snapshot.offer));
      expect(assembled(assembly)).toEqual({ ok: true, value: snapshot.text });
      expect(partOf(snapshot, asked)).toBeNull();
      expect(partOf(snapshot, -1)).toBeNull();
    },
  );

  test('a part out of turn, too long or too short is not added', () => {
    const snapshot = snapshotOf(5, textOf(2 * PART_LENGTH + 9));
    const assembly = createAssembly(snapshot.offer);
    const [first, second, third] = [0, 1, 2].map((i) => partOf(snapshot, i) ?? '') as [string, string, string];
    expect(addPart(assembly, 1, second)).toBe(false);
    expect(addPart(assembly, 0, first.slice(1))).toBe(false);
    expect(addPart(assembly, 0, `${first}x`)).toBe(false);
    expect([addPart(assembly, 0, first), addPart(assembly, 0, first), addPart(assembly, 1, second)]).toEqual([
      true,
      false,
      true,
    ]);
    expect(addPart(assembly, 2, `${third}x`)).toBe(false);
    expect(addPart(assembly, 2, third)).toBe(true);
    expect(addPart(assembly, 3, third)).toBe(false);
  });

  test('parts of two snapshots are told by the digest', () => {
    const one = snapshotOf(5, 'a'.repeat(2 * PART_LENGTH));
    const other = snapshotOf(6, 'b'.repeat(2 * PART_LENGTH));
    const mixed = createAssembly(one.offer);
    addPart(mixed, 0, partOf(one, 0) ?? '');
    addPart(mixed, 1, partOf(other, 1) ?? '');
    expect(assembled(mixed)).toEqual({ ok: false, fault: { tag: 'digestDiffers' } });
  });

  test('an offer above the bound is known before anything is fetched', () => {
    expect(isBounded({ digest: 'd', slot: 1, length: MOST_SNAPSHOT_LENGTH })).toBe(true);
    expect(isBounded({ digest: 'd', slot: 1, length: MOST_SNAPSHOT_LENGTH + 1 })).toBe(false);
  });
});
