import { expect, test } from '@jest/globals';
import { addChunk, checkDigest, closeDigest, startDigest } from './response-digest.js';

function sealed(texts: readonly string[]): ReturnType<typeof closeDigest> {
  const check = startDigest('r1', 'd1');
  texts.forEach((text, n) => addChunk(check, { n, text }));
  return closeDigest(check, 'd1');
}

test('only the whole answer of this request and dispatch fits the seal', () => {
  const digest = sealed(['ab', 'c']);
  function verdict(requestId: string, attemptId: string | null, texts: readonly string[]): unknown {
    const check = startDigest(requestId, attemptId);
    texts.forEach((text, n) => addChunk(check, { n, text }));
    return checkDigest(check, digest);
  }
  expect(verdict('r1', 'd1', ['ab', 'c'])).toBeNull();
  expect(verdict('r1', null, ['ab', 'c'])).toBeNull();
  expect(verdict('r1', 'd1', ['ab'])).toBe('pieceCount');
  expect(verdict('r1', 'd1', ['a', 'bc'])).toBe('digest');
  expect(verdict('r2', 'd1', ['ab', 'c'])).toBe('foreign');
  expect(verdict('r1', 'd2', ['ab', 'c'])).toBe('foreign');
});

test('a piece out of turn is told at once', () => {
  const check = startDigest('r1', 'd1');
  expect(addChunk(check, { n: 0, text: 'a' })).toBeNull();
  expect(addChunk(check, { n: 0, text: 'a' })).toBe('pieceOutOfTurn');
  expect(addChunk(check, { n: 2, text: 'a' })).toBe('pieceOutOfTurn');
});
