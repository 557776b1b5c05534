import { describe, expect, test } from '@jest/globals';
import {
  addChunk,
  assembleText,
  createAssembly,
  isWithinSizeLimit,
  MAX_SNAPSHOT_LENGTH,
  nextChunk,
  CHUNK_LENGTH,
  chunkCount,
  chunkAt,
  snapshotOf,
} from './snapshot-chunks.js';

function textOf(length: number): string {
  let text = '';
  for (let i = 0; text.length < length; i += 1) text += `${i}ő😀`;
  return text.slice(0, length);
}

describe('a snapshot in chunks', () => {
  test.each([1, CHUNK_LENGTH - 1, CHUNK_LENGTH, CHUNK_LENGTH + 1, 3 * CHUNK_LENGTH + 7])(
    'a text of length %i is assembled unchanged, also after each chunk was sent as JSON',
    (length) => {
      const snapshot = snapshotOf(5, textOf(length));
      const assembly = createAssembly(snapshot.offer);
      let count = 0;
      for (let next = nextChunk(assembly); next !== null; next = nextChunk(assembly)) {
        const chunk = JSON.parse(JSON.stringify(chunkAt(snapshot, next))) as string;
        expect(addChunk(assembly, next, chunk)).toBe(true);
        count += 1;
      }
      expect(count).toBe(chunkCount(snapshot.offer));
      expect(assembleText(assembly)).toEqual({ ok: true, value: snapshot.text });
      expect(chunkAt(snapshot, count)).toBeNull();
      expect(chunkAt(snapshot, -1)).toBeNull();
    },
  );

  test('a chunk out of order, too long or too short is not added', () => {
    const snapshot = snapshotOf(5, textOf(2 * CHUNK_LENGTH + 9));
    const assembly = createAssembly(snapshot.offer);
    const [first, second, third] = [0, 1, 2].map((i) => chunkAt(snapshot, i) ?? '') as [string, string, string];
    expect(addChunk(assembly, 1, second)).toBe(false);
    expect(addChunk(assembly, 0, first.slice(1))).toBe(false);
    expect(addChunk(assembly, 0, `${first}x`)).toBe(false);
    expect([addChunk(assembly, 0, first), addChunk(assembly, 0, first), addChunk(assembly, 1, second)]).toEqual([
      true,
      false,
      true,
    ]);
    expect(addChunk(assembly, 2, `${third}x`)).toBe(false);
    expect(addChunk(assembly, 2, third)).toBe(true);
    expect(addChunk(assembly, 3, third)).toBe(false);
  });

  test('a mix of chunks of two snapshots is detected by the digest', () => {
    const one = snapshotOf(5, 'a'.repeat(2 * CHUNK_LENGTH));
    const other = snapshotOf(6, 'b'.repeat(2 * CHUNK_LENGTH));
    const mixed = createAssembly(one.offer);
    addChunk(mixed, 0, chunkAt(one, 0) ?? '');
    addChunk(mixed, 1, chunkAt(other, 1) ?? '');
    expect(assembleText(mixed)).toEqual({ ok: false, error: { tag: 'digestDiffers' } });
  });

  test('an offer above the size limit is detected before anything is fetched', () => {
    expect(isWithinSizeLimit({ digest: 'd', slot: 1, length: MAX_SNAPSHOT_LENGTH })).toBe(true);
    expect(isWithinSizeLimit({ digest: 'd', slot: 1, length: MAX_SNAPSHOT_LENGTH + 1 })).toBe(false);
  });
});
